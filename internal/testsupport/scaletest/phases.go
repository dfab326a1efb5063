package scaletest

import (
	"fmt"
	"time"
)

// The phases of a run, in their order; the names stand in reports.
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
	// settlingTime lets the membership list spread that all proxies are ready,
	// which would count as a cost of the steady phase.
	settlingTime = 3 * time.Second
	// changeSettlingTime lets the membership list spread what the last change set
	// off, so that it counts as a cost of the change phase.
	changeSettlingTime = 2 * time.Second
	// registryDowntime is long enough for the others to declare the registry dead: a
	// suspicion lasts about a second.
	registryDowntime = 5 * time.Second
	pollInterval     = 100 * time.Millisecond
	// changesPerProgressMessage keeps the progress of a large configuration short.
	changesPerProgressMessage = 10
)

// phaseStep is a phase to be run: run sets the phase's Completed, Note and Lag.
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

// awaitStart waits until the core is ready and every proxy answers. No proxy is
// ready yet: that takes a configuration.
func (r *sizeRun) awaitStart(phase *Phase) {
	_, phase.Completed = waitUntil(r.ctx, r.PhaseTimeout, pollInterval, func() bool {
		return len(r.proxyStates()) == r.Size.Proxies && r.isCoreReady()
	})
	phase.Note = fmt.Sprintf("%d core daemons ready", r.countReadyCoreDaemons())
}

// loadConfiguration sends the whole configuration, change by change, and waits
// until every proxy has the last.
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
			phase.Note = fmt.Sprintf("change %d of %d (%d items and %d bytes in) declined after %.1f s: %v", i+1, len(changes), r.result.Items, r.result.ConfigurationBytes, elapsed.Seconds(), err)
			return
		}
		if elapsed > r.PhaseTimeout {
			phase.Note = fmt.Sprintf("change %d of %d took %.1f s, %d items and %d bytes in", i+1, len(changes), elapsed.Seconds(), r.result.Items, r.result.ConfigurationBytes)
			return
		}
		r.revision, slowest = revision, max(slowest, elapsed)
		r.result.ConfigurationBytes += len(change)
		r.result.Items += min(maxItemsPerChange, r.Zones+r.Services+r.Routes+r.Tenants-r.result.Items)
		if (i+1)%changesPerProgressMessage == 0 {
			r.Progress(fmt.Sprintf("  policy: %d of %d changes, the last took %.2f s", i+1, len(changes), elapsed.Seconds()))
		}
	}
	lags, ok := r.awaitRevision(r.revision, start)
	phase.Lag, phase.Completed = newLag(lags), ok
	phase.Note = fmt.Sprintf("%d items, %d bytes, slowest change %.2f s, %d proxies have the last", r.result.Items, r.result.ConfigurationBytes, slowest.Seconds(), len(lags))
}

// startHeartbeats starts the targets' heartbeats, which go on to the end of the
// run, and waits until all proxies are ready.
func (r *sizeRun) startHeartbeats(phase *Phase) {
	go r.heartbeats.run(r.ctx)
	_, phase.Completed = waitUntil(r.ctx, r.PhaseTimeout, pollInterval, func() bool {
		return int(r.heartbeats.acknowledged.Load()) >= r.Size.Targets && r.allProxiesReady()
	})
	pollFor(r.ctx, settlingTime, settlingTime, func() {})
	phase.Note = fmt.Sprintf("%d announcements answered, %d failed; %d proxies ready", r.heartbeats.acknowledged.Load(), r.heartbeats.failed.Load(), r.countReadyProxies())
}

// steadyState measures a fleet in which nothing happens but heartbeats and reports.
func (r *sizeRun) steadyState(phase *Phase) {
	minReady := r.Size.Proxies
	before := r.heartbeats.acknowledged.Load()
	pollFor(r.ctx, r.PhaseDuration, r.PhaseDuration/4, func() { minReady = min(minReady, r.countReadyProxies()) })
	phase.Completed = r.ctx.Err() == nil
	acknowledged := r.heartbeats.acknowledged.Load() - before
	expected := r.PhaseDuration.Seconds() / r.AnnounceInterval.Seconds() * float64(r.Size.Targets)
	phase.Note = fmt.Sprintf("%d proxies ready at least, %d announcements answered (%.0f wanted)", minReady, acknowledged, expected)
}

// applyChanges makes changes of one route each, and awaits each at every proxy.
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
			phase.Note = fmt.Sprintf("change %d: in force at %d proxies within %s", n+1, len(lags), r.PhaseTimeout)
			return
		}
	}
	pollFor(r.ctx, changeSettlingTime, time.Second, func() {})
	phase.Lag, phase.Completed = newLag(allLags), r.ctx.Err() == nil
	phase.Note = fmt.Sprintf("%d changes", r.Changes)
}

// restartRegistry kills the first registry, which plans the spill-over, and
// starts it again.
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
	phase.Note = fmt.Sprintf("%d proxies ready at least; whole %.1f s after the registry came back", minReady, elapsed.Seconds())
}

// restartProxies kills all proxies at once, and starts them at once.
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
	phase.Note = fmt.Sprintf("%d proxies ready, all after %.1f s", len(lags), elapsed.Seconds())
}
