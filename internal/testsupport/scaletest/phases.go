package scaletest

import (
	"fmt"
	"time"
)

// settle is how long a fleet that has come together is left alone.
const settle = 3 * time.Second

// configurations puts the whole configuration in, change by change.
func (x *sizeRun) configurations(ph *Phase) {
	list := x.Size.Whole()
	slowest, from := time.Duration(0), time.Now()
	for i, raw := range list {
		if x.ctx.Err() != nil {
			return
		}
		from = time.Now()
		rev, err := x.post(raw)
		took := time.Since(from)
		if err != nil {
			ph.Note = fmt.Sprintf("change %d of %d (%d items and %d bytes in) declined after %.1f s: %v", i+1, len(list), x.run.Items, x.run.Configuration, took.Seconds(), err)
			return
		}
		if took > x.PhaseTimeout {
			ph.Note = fmt.Sprintf("change %d of %d took %.1f s, %d items and %d bytes in", i+1, len(list), took.Seconds(), x.run.Items, x.run.Configuration)
			return
		}
		x.revision, slowest = rev, max(slowest, took)
		x.run.Configuration += len(raw)
		x.run.Items += min(perChange, x.Zones+x.Services+x.Routes+x.Tenants-x.run.Items)
		if i%10 == 9 {
			x.Show(fmt.Sprintf("  policy: %d of %d changes, the last took %.2f s", i+1, len(list), took.Seconds()))
		}
	}
	lags, ok := x.inForce(x.revision, from)
	ph.Lag, ph.Done = lagOf(lags), ok
	ph.Note = fmt.Sprintf("%d items, %d bytes, slowest change %.2f s, %d proxies have the last", x.run.Items, x.run.Configuration, slowest.Seconds(), len(lags))
}

// arrive lets targets announce themselves, and waits until all proxies serve.
func (x *sizeRun) arrive(ph *Phase) {
	go x.targets.run(x.ctx)
	_, ok := until(x.ctx, x.PhaseTimeout, 100*time.Millisecond, func() bool {
		return int(x.targets.answered.Load()) >= x.Size.Targets && x.count() == x.Size.Proxies
	})
	// The roll goes on telling of what has just become ready.
	_, _ = until(x.ctx, settle, settle, func() bool { return false })
	ph.Done = ok
	ph.Note = fmt.Sprintf("%d announcements answered, %d failed; %d proxies ready", x.targets.answered.Load(), x.targets.failed.Load(), x.count())
}

// steady does nothing for a while.
func (x *sizeRun) steady(ph *Phase) {
	least := x.Size.Proxies
	before := x.targets.answered.Load()
	_, _ = until(x.ctx, x.PhaseDuration, x.PhaseDuration/4, func() bool {
		least = min(least, x.count())
		return false
	})
	ph.Done = x.ctx.Err() == nil
	told := x.targets.answered.Load() - before
	ph.Note = fmt.Sprintf("%d proxies ready at least, %d announcements answered (%.0f wanted)", least, told, x.PhaseDuration.Seconds()/x.Interval.Seconds()*float64(x.Size.Targets))
}

// changes are changes of one route each, every one awaited everywhere.
func (x *sizeRun) changes(ph *Phase) {
	var all []time.Duration
	for n := range x.Changes {
		from := time.Now()
		rev, err := x.post(x.Size.Change("change", n))
		if err != nil {
			ph.Note = fmt.Sprintf("change %d: %v", n+1, err)
			return
		}
		lags, ok := x.inForce(rev, from)
		all = append(all, lags...)
		if !ok {
			ph.Note = fmt.Sprintf("change %d: in force at %d proxies within %s", n+1, len(lags), x.PhaseTimeout)
			return
		}
	}
	// What a change sets off in the roll goes on after it is in force.
	_, _ = until(x.ctx, 2*time.Second, time.Second, func() bool { return false })
	ph.Lag, ph.Done = lagOf(all), x.ctx.Err() == nil
	ph.Note = fmt.Sprintf("%d changes", x.Changes)
}

// registryLost kills the registry that plans, and lets it come back.
func (x *sizeRun) registryLost(ph *Phase) {
	p := x.of("registry")[0]
	x.kill(p)
	least := x.Size.Proxies
	_, _ = until(x.ctx, 5*time.Second, 100*time.Millisecond, func() bool {
		least = min(least, x.count())
		return false
	})
	if err := x.start(p); err != nil {
		ph.Note = err.Error()
		return
	}
	took, ok := until(x.ctx, x.PhaseTimeout, 100*time.Millisecond, func() bool {
		return x.readyCore() == 3+x.Core && x.count() == x.Size.Proxies
	})
	ph.Done = ok
	ph.Note = fmt.Sprintf("%d proxies ready at least; whole %.1f s after the registry came back", least, took.Seconds())
}

// proxiesBack loses all proxies at once, and starts them at once.
func (x *sizeRun) proxiesBack(ph *Phase) {
	x.killAll("proxy")
	from := time.Now()
	if err := x.startAll("proxy"); err != nil {
		ph.Note = err.Error()
		return
	}
	took, ok := until(x.ctx, x.PhaseTimeout, 100*time.Millisecond, func() bool { return x.count() == x.Size.Proxies })
	var lags []time.Duration
	for _, s := range x.stands() {
		if s.Ready {
			lags = append(lags, time.Duration(s.ServingStateChangedAt-from.UnixNano()))
		}
	}
	ph.Lag, ph.Done = lagOf(lags), ok
	ph.Note = fmt.Sprintf("%d proxies ready, all after %.1f s", len(lags), took.Seconds())
}
