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

func (tb *Testbed) findTarget(name string) *Target {
	for _, t := range tb.Targets {
		if string(t.Instance) == name {
			return t
		}
	}
	return nil
}

func (tb *Testbed) faultTarget(step Step, t *Target, hold func()) {
	start := func(t *Target) {
		if err := t.Start(true); err != nil {
			tb.Checker.Violation("start %s: %v", t.Instance, err)
		}
	}
	switch step.Action {
	case "crash-target":
		t.Crash()
		hold()
		start(t)
	case "leave-target":
		t.Drain()
		time.Sleep(4 * time.Second)
		t.Crash()
		hold()
		start(t)
	case "freeze-target":
		t.Freeze(time.Duration(step.For))
	case "replace-target":
		tb.replaceTarget(t)
	case "mute-target":
		t.LostPercent.Store(20)
		t.CorruptPercent.Store(10)
		hold()
		t.LostPercent.Store(0)
		t.CorruptPercent.Store(0)
	case "hand-over":
		for _, o := range tb.Targets {
			if o.Service != t.Service {
				t.Crash()
				o.Crash()
				t.Address, o.Address, t.listenAddress, o.listenAddress = o.Address, t.Address, o.listenAddress, t.listenAddress
				start(o)
				hold()
				start(t)
				return
			}
		}
	}
}

// replaceTarget drains a target, and another of its service takes over, by
// another name, at another address, for good.
func (tb *Testbed) replaceTarget(t *Target) {
	t.Drain()
	time.Sleep(4 * time.Second)
	t.Crash()
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	tb.replacedTargets++
	n := 200 + tb.replacedTargets%50
	zone := 0
	for i := range tb.Zones {
		if tb.Plan.Zone(i) == t.Zone {
			zone = i
		}
	}
	at, err := loopbackAddress(zone, 4, n, 0)
	if err == nil && tb.relay != nil {
		t.listenAddress, err = tb.relayTo(at, zone, 4, n)
	}
	if err != nil {
		tb.Checker.Violation("replace %s: %v", t.Instance, err)
		return
	}
	t.Instance, t.Address = ids.InstanceID(fmt.Sprintf("%s-new-%d", t.Service, tb.replacedTargets)), at
	if err := t.Start(true); err != nil {
		tb.Checker.Violation("start %s: %v", t.Instance, err)
	}
}

// stallDisk keeps a store's disk from writing, by a lock held on its database
// from outside, as long as its own patience lasts or longer: then it must end
// itself. Whichever, a stalled disk may not pass for health.
func (tb *Testbed) stallDisk(ctx context.Context, p *Process, duration time.Duration) {
	db, err := sql.Open("sqlite3", "file:"+filepath.Join(p.Data, "stockroom.db")+"?_busy_timeout=2000")
	if err != nil {
		tb.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	defer db.Close()
	connection, err := db.Conn(ctx)
	if err == nil {
		defer connection.Close()
		_, err = connection.ExecContext(ctx, "BEGIN IMMEDIATE")
	}
	if err != nil {
		tb.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	from := time.Now()
	sleepContext(ctx, min(duration, 2500*time.Millisecond))
	res, err := http.Get("http://" + p.HTTP + "/readyz")
	if err == nil {
		res.Body.Close()
		if res.StatusCode == http.StatusOK && duration > 2*time.Second {
			tb.Checker.Violation("%s says it is ready, its disk stalled for %s", p.Name, time.Since(from).Round(time.Millisecond))
		}
	}
	sleepContext(ctx, duration-time.Since(from))
	_, _ = connection.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
	// One whose patience ended has ended itself, and is started again.
	if tb.awaitExit(p, 500*time.Millisecond) {
		p.Stopped = true
		tb.restart(p)
	}
}
