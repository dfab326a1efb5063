package scaletest

import (
	"fmt"
	"time"
)

// settlingTime is how long a fleet that has come together is left alone.
const settlingTime = 3 * time.Second

// loadConfiguration puts the whole configuration in, change by change.
func (r *sizeRun) loadConfiguration(phase *Phase) {
	list := r.Size.ConfigurationChanges()
	slowest, start := time.Duration(0), time.Now()
	for i, raw := range list {
		if r.ctx.Err() != nil {
			return
		}
		start = time.Now()
		revision, err := r.postChange(raw)
		elapsed := time.Since(start)
		if err != nil {
			phase.Note = fmt.Sprintf("change %d of %d (%d items and %d bytes in) declined after %.1f s: %v", i+1, len(list), r.result.Items, r.result.ConfigurationBytes, elapsed.Seconds(), err)
			return
		}
		if elapsed > r.PhaseTimeout {
			phase.Note = fmt.Sprintf("change %d of %d took %.1f s, %d items and %d bytes in", i+1, len(list), elapsed.Seconds(), r.result.Items, r.result.ConfigurationBytes)
			return
		}
		r.revision, slowest = revision, max(slowest, elapsed)
		r.result.ConfigurationBytes += len(raw)
		r.result.Items += min(maxItemsPerChange, r.Zones+r.Services+r.Routes+r.Tenants-r.result.Items)
		if i%10 == 9 {
			r.Progress(fmt.Sprintf("  policy: %d of %d changes, the last took %.2f s", i+1, len(list), elapsed.Seconds()))
		}
	}
	lags, ok := r.awaitRevision(r.revision, start)
	phase.Lag, phase.Completed = newLag(lags), ok
	phase.Note = fmt.Sprintf("%d items, %d bytes, slowest change %.2f s, %d proxies have the last", r.result.Items, r.result.ConfigurationBytes, slowest.Seconds(), len(lags))
}

// announceTargets lets targets announce themselves, and waits until all proxies serve.
func (r *sizeRun) announceTargets(phase *Phase) {
	go r.targets.run(r.ctx)
	_, ok := waitUntil(r.ctx, r.PhaseTimeout, 100*time.Millisecond, func() bool {
		return int(r.targets.acknowledged.Load()) >= r.Size.Targets && r.readyProxies() == r.Size.Proxies
	})
	// The roll goes on telling of what has just become ready.
	_, _ = waitUntil(r.ctx, settlingTime, settlingTime, func() bool { return false })
	phase.Completed = ok
	phase.Note = fmt.Sprintf("%d announcements answered, %d failed; %d proxies ready", r.targets.acknowledged.Load(), r.targets.failed.Load(), r.readyProxies())
}

// steadyState does nothing for a while.
func (r *sizeRun) steadyState(phase *Phase) {
	fewestReady := r.Size.Proxies
	before := r.targets.acknowledged.Load()
	_, _ = waitUntil(r.ctx, r.PhaseDuration, r.PhaseDuration/4, func() bool {
		fewestReady = min(fewestReady, r.readyProxies())
		return false
	})
	phase.Completed = r.ctx.Err() == nil
	answered := r.targets.acknowledged.Load() - before
	phase.Note = fmt.Sprintf("%d proxies ready at least, %d announcements answered (%.0f wanted)", fewestReady, answered, r.PhaseDuration.Seconds()/r.AnnounceInterval.Seconds()*float64(r.Size.Targets))
}

// applyChanges are changes of one route each, every one awaited everywhere.
func (r *sizeRun) applyChanges(phase *Phase) {
	var all []time.Duration
	for n := range r.Changes {
		start := time.Now()
		revision, err := r.postChange(r.Size.RouteChange("change", n))
		if err != nil {
			phase.Note = fmt.Sprintf("change %d: %v", n+1, err)
			return
		}
		lags, ok := r.awaitRevision(revision, start)
		all = append(all, lags...)
		if !ok {
			phase.Note = fmt.Sprintf("change %d: in force at %d proxies within %s", n+1, len(lags), r.PhaseTimeout)
			return
		}
	}
	// What a change sets off in the roll goes on after it is in force.
	_, _ = waitUntil(r.ctx, 2*time.Second, time.Second, func() bool { return false })
	phase.Lag, phase.Completed = newLag(all), r.ctx.Err() == nil
	phase.Note = fmt.Sprintf("%d changes", r.Changes)
}

// restartRegistry kills the registry that plans, and lets it come back.
func (r *sizeRun) restartRegistry(phase *Phase) {
	p := r.running("registry")[0]
	r.kill(p)
	fewestReady := r.Size.Proxies
	_, _ = waitUntil(r.ctx, 5*time.Second, 100*time.Millisecond, func() bool {
		fewestReady = min(fewestReady, r.readyProxies())
		return false
	})
	if err := r.start(p); err != nil {
		phase.Note = err.Error()
		return
	}
	elapsed, ok := waitUntil(r.ctx, r.PhaseTimeout, 100*time.Millisecond, func() bool {
		return r.readyCore() == 3+r.Core && r.readyProxies() == r.Size.Proxies
	})
	phase.Completed = ok
	phase.Note = fmt.Sprintf("%d proxies ready at least; whole %.1f s after the registry came back", fewestReady, elapsed.Seconds())
}

// restartProxies loses all proxies at once, and starts them at once.
func (r *sizeRun) restartProxies(phase *Phase) {
	r.killRole("proxy")
	start := time.Now()
	if err := r.startRole("proxy"); err != nil {
		phase.Note = err.Error()
		return
	}
	elapsed, ok := waitUntil(r.ctx, r.PhaseTimeout, 100*time.Millisecond, func() bool { return r.readyProxies() == r.Size.Proxies })
	var lags []time.Duration
	for _, s := range r.proxyStates() {
		if s.Ready {
			lags = append(lags, time.Duration(s.ServingStateChangedAt-start.UnixNano()))
		}
	}
	phase.Lag, phase.Completed = newLag(lags), ok
	phase.Note = fmt.Sprintf("%d proxies ready, all after %.1f s", len(lags), elapsed.Seconds())
}
