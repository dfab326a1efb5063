package testbed

import (
	"context"
	"database/sql"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	_ "github.com/mattn/go-sqlite3" // to hold a store's database from outside

	"dunlinwell/internal/base/ids"
)

func (s *Testbed) target(name string) *Target {
	for _, t := range s.Targets {
		if string(t.Instance) == name {
			return t
		}
	}
	return nil
}

func (s *Testbed) doTarget(d Step, t *Target, rest func()) {
	start := func(t *Target) {
		if err := t.Start(true); err != nil {
			s.Checker.Violation("start %s: %v", t.Instance, err)
		}
	}
	switch d.Action {
	case "crash-target":
		t.Crash()
		rest()
		start(t)
	case "leave-target":
		t.Leave()
		time.Sleep(4 * time.Second)
		t.Crash()
		rest()
		start(t)
	case "freeze-target":
		t.Freeze(time.Duration(d.For))
	case "replace-target":
		s.replaceTarget(t)
	case "mute-target":
		t.LostPercent.Store(20)
		t.CorruptPercent.Store(10)
		rest()
		t.LostPercent.Store(0)
		t.CorruptPercent.Store(0)
	case "hand-over":
		for _, o := range s.Targets {
			if o.Service != t.Service {
				t.Crash()
				o.Crash()
				t.Address, o.Address, t.boundAddress, o.boundAddress = o.Address, t.Address, o.boundAddress, t.boundAddress
				start(o)
				rest()
				start(t)
				return
			}
		}
	}
}

// replaceTarget drains a target, and another of its service takes over, by
// another name, at another address, for good.
func (s *Testbed) replaceTarget(t *Target) {
	t.Leave()
	time.Sleep(4 * time.Second)
	t.Crash()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fresh++
	n := 200 + s.fresh%50
	zone := 0
	for i := range s.Zones {
		if s.Plan.Zone(i) == t.Zone {
			zone = i
		}
	}
	at, err := loopback(zone, 4, n, 0)
	if err == nil && s.relay != nil {
		t.boundAddress, err = s.behind(at, zone, 4, n)
	}
	if err != nil {
		s.Checker.Violation("replace %s: %v", t.Instance, err)
		return
	}
	t.Instance, t.Address = ids.InstanceID(fmt.Sprintf("%s-new-%d", t.Service, s.fresh)), at
	if err := t.Start(true); err != nil {
		s.Checker.Violation("start %s: %v", t.Instance, err)
	}
}

// stall keeps a store's disk from writing, by a lock held on its database
// from outside, as long as its own patience lasts or longer: then it must end
// itself. Whichever, a stalled disk may not pass for health.
func (s *Testbed) stall(ctx context.Context, p *Process, d time.Duration) {
	db, err := sql.Open("sqlite3", "file:"+filepath.Join(p.Data, "stockroom.db")+"?_busy_timeout=2000")
	if err != nil {
		s.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	defer db.Close()
	line, err := db.Conn(ctx)
	if err == nil {
		defer line.Close()
		_, err = line.ExecContext(ctx, "BEGIN IMMEDIATE")
	}
	if err != nil {
		s.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	from := time.Now()
	wait(ctx, min(d, 2500*time.Millisecond))
	res, err := http.Get("http://" + p.HTTP + "/readyz")
	if err == nil {
		res.Body.Close()
		if res.StatusCode == http.StatusOK && d > 2*time.Second {
			s.Checker.Violation("%s says it is ready, its disk stalled for %s", p.Name, time.Since(from).Round(time.Millisecond))
		}
	}
	wait(ctx, d-time.Since(from))
	_, _ = line.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
	// One whose patience ended has ended itself, and is started again.
	if s.await(p, 500*time.Millisecond) {
		p.Lost = true
		s.revive(p)
	}
}
