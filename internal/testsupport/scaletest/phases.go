package scaletest

import (
	"fmt"
	"time"
)

// The names of the phases in reports, in the order in which the phases run.
const (
	startPhase           = "start"
	configurationPhase   = "policy"
	targetsPhase         = "targets"
	steadyPhase          = "steady"
	changePhase          = "change"
	registryRestartPhase = "registry-lost"
	proxyRestartPhase    = "proxies-back"
)

const (
	// settlingTime lets the gossip about the proxies' readiness finish before the steady phase.
	settlingTime = 3 * time.Second
	// changeSettlingTime lets the gossip caused by the last change finish within the change phase.
	changeSettlingTime = 2 * time.Second
	// registryDowntime exceeds the suspicion timeout of about a second, so that the other daemons
	// declare the registry dead.
	registryDowntime = 5 * time.Second
	pollInterval     = 100 * time.Millisecond
	// changesPerProgressMessage limits the progress messages while a configuration is loaded.
	changesPerProgressMessage = 10
)

// phaseStep is a named phase. Its run function sets Completed, Note and Lag of the result.
type phaseStep struct {
	name string
	run  func(*Phase)
}

func (r *sizeRun) steps() []phaseStep {
	return []phaseStep{
		{startPhase, r.awaitStart},
		{configurationPhase, r.loadConfiguration},
		{targetsPhase, r.startHeartbeats},
		{steadyPhase, r.steadyState},
		{changePhase, r.applyChanges},
		{registryRestartPhase, r.restartRegistry},
		{proxyRestartPhase, r.restartProxies},
	}
}

// awaitStart waits until all core daemons are ready and every proxy responds. Proxies aren't ready
// before they have a configuration.
func (r *sizeRun) awaitStart(phase *Phase) {
	_, phase.Completed = waitUntil(r.ctx, r.PhaseTimeout, pollInterval, func() bool {
		return len(r.proxyStates()) == r.Size.Proxies && r.isCoreReady()
	})
	phase.Note = fmt.Sprintf("%d core daemons ready", r.countReadyCoreDaemons())
}

// loadConfiguration sends all changes of the configuration and waits until every proxy has applied
// the last one.
func (r *sizeRun) loadConfiguration(phase *Phase) {
	changes := r.Size.ConfigurationChanges()
	slowest, start := time.Duration(0), time.Now()
	for i, change := range changes {
		if r.ctx.Err() != nil {
			return
		}
		start = time.Now()
		revision, err := r.postChange(change)
		elapsed := time.Since(start)
		if err != nil {
			phase.Note = fmt.Sprintf("change %d of %d (after %d items and %d bytes) failed after %.1f s: %v", i+1, len(changes), r.result.Items, r.result.ConfigurationBytes, elapsed.Seconds(), err)
			return
		}
		if elapsed > r.PhaseTimeout {
			phase.Note = fmt.Sprintf("change %d of %d took %.1f s, longer than the timeout (after %d items and %d bytes)", i+1, len(changes), elapsed.Seconds(), r.result.Items, r.result.ConfigurationBytes)
			return
		}
		r.revision, slowest = revision, max(slowest, elapsed)
		r.result.ConfigurationBytes += len(change)
		r.result.Items += min(maxItemsPerChange, r.Zones+r.Services+r.Routes+r.Tenants-r.result.Items)
		if (i+1)%changesPerProgressMessage == 0 {
			r.Progress(fmt.Sprintf("  policy: %d of %d changes sent, last change took %.2f s", i+1, len(changes), elapsed.Seconds()))
		}
	}
	lags, ok := r.awaitRevision(r.revision, start)
	phase.Lag, phase.Completed = newLag(lags), ok
	phase.Note = fmt.Sprintf("%d items, %d bytes; slowest change %.2f s; last change applied by %d proxies", r.result.Items, r.result.ConfigurationBytes, slowest.Seconds(), len(lags))
}

// startHeartbeats starts the heartbeats of the targets, which continue until the end of the run,
// and waits until all proxies are ready.
func (r *sizeRun) startHeartbeats(phase *Phase) {
	go r.heartbeats.run(r.ctx)
	_, phase.Completed = waitUntil(r.ctx, r.PhaseTimeout, pollInterval, func() bool {
		return int(r.heartbeats.acknowledged.Load()) >= r.Size.Targets && r.allProxiesReady()
	})
	pollFor(r.ctx, settlingTime, settlingTime, func() {})
	phase.Note = fmt.Sprintf("%d heartbeats acknowledged, %d failed; %d proxies ready", r.heartbeats.acknowledged.Load(), r.heartbeats.failed.Load(), r.countReadyProxies())
}

// steadyState measures a fleet without changes or failures.
func (r *sizeRun) steadyState(phase *Phase) {
	minReady := r.Size.Proxies
	before := r.heartbeats.acknowledged.Load()
	pollFor(r.ctx, r.SteadyPhaseDuration, r.SteadyPhaseDuration/4, func() { minReady = min(minReady, r.countReadyProxies()) })
	phase.Completed = r.ctx.Err() == nil
	acknowledged := r.heartbeats.acknowledged.Load() - before
	expected := r.SteadyPhaseDuration.Seconds() / r.HeartbeatInterval.Seconds() * float64(r.Size.Targets)
	phase.Note = fmt.Sprintf("at least %d proxies ready; %d heartbeats acknowledged (%.0f expected)", minReady, acknowledged, expected)
}

// applyChanges changes one route at a time, and waits each time until every proxy has applied the
// change.
func (r *sizeRun) applyChanges(phase *Phase) {
	var allLags []time.Duration
	for n := range r.Changes {
		start := time.Now()
		revision, err := r.postChange(r.Size.RouteChange("change", n))
		if err != nil {
			phase.Note = fmt.Sprintf("change %d: %v", n+1, err)
			return
		}
		lags, ok := r.awaitRevision(revision, start)
		allLags = append(allLags, lags...)
		if !ok {
			phase.Note = fmt.Sprintf("change %d: applied by only %d proxies within %s", n+1, len(lags), r.PhaseTimeout)
			return
		}
	}
	pollFor(r.ctx, changeSettlingTime, time.Second, func() {})
	phase.Lag, phase.Completed = newLag(allLags), r.ctx.Err() == nil
	phase.Note = fmt.Sprintf("%d changes", r.Changes)
}

// restartRegistry kills the first registry, which plans the spill-over, and restarts it.
func (r *sizeRun) restartRegistry(phase *Phase) {
	p := r.running(registryRole)[0]
	r.kill(p)
	minReady := r.Size.Proxies
	pollFor(r.ctx, registryDowntime, pollInterval, func() { minReady = min(minReady, r.countReadyProxies()) })
	if err := r.start(p); err != nil {
		phase.Note = err.Error()
		return
	}
	elapsed, ok := waitUntil(r.ctx, r.PhaseTimeout, pollInterval, func() bool { return r.isCoreReady() && r.allProxiesReady() })
	phase.Completed = ok
	phase.Note = fmt.Sprintf("at least %d proxies ready; all daemons ready %.1f s after the restart", minReady, elapsed.Seconds())
}

// restartProxies kills all proxies, and then restarts them all.
func (r *sizeRun) restartProxies(phase *Phase) {
	r.killRole(proxyRole)
	start := time.Now()
	if err := r.startRole(proxyRole); err != nil {
		phase.Note = err.Error()
		return
	}
	elapsed, ok := waitUntil(r.ctx, r.PhaseTimeout, pollInterval, r.allProxiesReady)
	var lags []time.Duration
	for _, s := range r.proxyStates() {
		if s.Ready {
			lags = append(lags, time.Duration(s.ServingStateChangedAt-start.UnixNano()))
		}
	}
	phase.Lag, phase.Completed = newLag(lags), ok
	phase.Note = fmt.Sprintf("%d proxies ready after %.1f s", len(lags), elapsed.Seconds())
}
