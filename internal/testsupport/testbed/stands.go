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

func (s *Stage) target(name string) *Target {
	for _, t := range s.Targets {
		if string(t.Instance) == name {
			return t
		}
	}
	return nil
}

func (s *Stage) doTarget(d Deed, t *Target, rest func()) {
	start := func(t *Target) {
		if err := t.Start(true); err != nil {
			s.Truth.Wrong("start %s: %v", t.Instance, err)
		}
	}
	switch d.Do {
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
		t.Mute.Store(20)
		t.Garbage.Store(10)
		rest()
		t.Mute.Store(0)
		t.Garbage.Store(0)
	case "hand-over":
		for _, o := range s.Targets {
			if o.Service != t.Service {
				t.Crash()
				o.Crash()
				t.Address, o.Address, t.bound, o.bound = o.Address, t.Address, o.bound, t.bound
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
func (s *Stage) replaceTarget(t *Target) {
	t.Leave()
	time.Sleep(4 * time.Second)
	t.Crash()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fresh++
	n := 200 + s.fresh%50
	cell := 0
	for i := range s.Cells {
		if s.Plan.Cell(i) == t.Cell {
			cell = i
		}
	}
	at, err := loopback(cell, 4, n, 0)
	if err == nil && s.relay != nil {
		t.bound, err = s.behind(at, cell, 4, n)
	}
	if err != nil {
		s.Truth.Wrong("replace %s: %v", t.Instance, err)
		return
	}
	t.Instance, t.Address = ids.Instance(fmt.Sprintf("%s-new-%d", t.Service, s.fresh)), at
	if err := t.Start(true); err != nil {
		s.Truth.Wrong("start %s: %v", t.Instance, err)
	}
}

// stall keeps a store's disk from writing, by a lock held on its database
// from outside, as long as its own patience lasts or longer: then it must end
// itself. Whichever, a stalled disk may not pass for health.
func (s *Stage) stall(ctx context.Context, p *Process, d time.Duration) {
	db, err := sql.Open("sqlite3", "file:"+filepath.Join(p.Data, "stockroom.db")+"?_busy_timeout=2000")
	if err != nil {
		s.Truth.Wrong("stall %s: %v", p.Name, err)
		return
	}
	defer db.Close()
	line, err := db.Conn(ctx)
	if err == nil {
		defer line.Close()
		_, err = line.ExecContext(ctx, "BEGIN IMMEDIATE")
	}
	if err != nil {
		s.Truth.Wrong("stall %s: %v", p.Name, err)
		return
	}
	from := time.Now()
	wait(ctx, min(d, 2500*time.Millisecond))
	res, err := http.Get("http://" + p.HTTP + "/readyz")
	if err == nil {
		res.Body.Close()
		if res.StatusCode == http.StatusOK && d > 2*time.Second {
			s.Truth.Wrong("%s says it is ready, its disk stalled for %s", p.Name, time.Since(from).Round(time.Millisecond))
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
