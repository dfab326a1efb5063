package registry

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
)

const (
	// pauseThreshold is the time between two ticks above which this process is
	// considered to have been paused.
	pauseThreshold = time.Second
	// reportOverlap extends the averaging window so that it covers two whole reports.
	reportOverlap = 100 * time.Millisecond
)

// Registry is the state machine of a registry daemon.
type Registry struct {
	event.Outbox
	// List is the membership list.
	*membership.List
	// Client sends calls to the stores.
	Client *consensus.Client
	// Targets holds all known targets.
	Targets *targets.Table
	// Distributor pushes configuration and targets to the proxies.
	Distributor *distribution.Distributor
	// Reports holds the usage reported by proxies, as input to the planner.
	Reports *spill.Reports

	options       Options
	lease         controlLease
	configuration configurationState
	peers         peerSet
	assignment    assignment
	departures    departureTracker
	leadership    leadership
	planner       planner
	snapshotCache snapshotCache

	// deferredCalls wait for the lease to be renewed, pendingCalls for the stores.
	deferredCalls []deferredCall
	pendingCalls  []pendingCall

	// stopping is set once graceful shutdown has begun.
	stopping       bool
	lastPush       ids.Time
	nextTargetSync ids.Time

	// startedAt is the time of the first tick of this run, lastTick that of the most
	// recent one.
	startedAt ids.Time
	lastTick  ids.Time
	// resumedAt is the time of the first tick after the last pause of this process;
	// zero if it was never paused.
	resumedAt ids.Time
}

// New returns a registry that knows only itself and its seeds.
func New(options Options) *Registry {
	options.setDefaults()
	options.Self.Role = membership.Registry
	r := &Registry{
		options:       options,
		lease:         controlLease{duration: options.ControlLease},
		configuration: newConfigurationState(options.Regions),
		peers:         newPeerSet(),
		planner:       newPlanner(),
		Targets:       targets.New(),
		Reports:       spill.NewReports(),
	}
	r.Targets.Incremental, r.Targets.Self = options.Incremental, options.Self.ID
	r.List = membership.New(options.Options, &r.Outbox)
	r.List.MayDeclareDead = r.mayDeclareDead
	r.Client = consensus.NewClient(options.Self.RunID, &r.Outbox)
	r.Client.StoreOrder = r.storeOrder
	r.Distributor = r.newDistributor()
	if options.DeriveZoneLevels {
		// Proxies report once per plan interval.
		r.Reports.AveragingWindow = 2*options.PlanInterval + reportOverlap
	}
	return r
}

// Step handles an event and returns the commands that the daemon has to execute.
func (r *Registry) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case event.Received:
		r.RecordContact(now, e.From)
		r.receive(now, e.From, e.Message)
	case event.Tick:
		r.tick(now)
	default:
		r.handleCall(now, ev)
	}
	return r.Drain()
}

// tick runs the periodic work.
func (r *Registry) tick(now ids.Time) {
	r.recordTick(now)
	r.UpdateSelf(r.isReady(now), r.configuration.view.Revision)
	r.List.Tick(now)
	r.abandonOverdueCalls(now)
	r.runDeferredCalls(now)
	r.Client.Tick(now)
	r.tickPeers(now)
	r.expireTargets(now)
	r.tickConfiguration(now)
	r.syncTargets(now)
	r.tickPush(now)
	r.completeDepartures(now)
	r.tickLeadership(now)
}

// recordTick records the time of a tick and detects that this process was paused before it.
func (r *Registry) recordTick(now ids.Time) {
	gap := now.Sub(r.lastTick)
	if r.lastTick != 0 && gap > pauseThreshold {
		r.resumedAt = now
		r.Log(event.LevelWarn, logProcessResumed, "gap_ms", formatUint(uint64(gap.Milliseconds())))
	}
	r.lastTick = now
	if r.startedAt == 0 {
		r.startedAt = now
	}
}

// receive handles a message from another daemon.
func (r *Registry) receive(now ids.Time, from ids.Address, msg any) {
	if reason := r.discardReason(from, msg); reason != "" {
		r.Discard(from, reason, msg)
		return
	}
	switch m := msg.(type) {
	case consensus.Response:
		r.handleStoreResponse(now, from, m)
	case consensus.Chosen:
		r.handleChosen(now, m)
	case consensus.ChosenDelta:
		r.handleChosenDelta(now, m)
	case distribution.Ack:
		r.handleProxyAck(now, m)
	case targets.Update:
		r.handleTargetUpdate(now, m.Targets)
	case PeerHeartbeat:
		r.handlePeerHeartbeat(now, m)
	case TableDigest:
		r.handleTableDigest(now, from, m)
	case DepartureNotice:
		r.handleDepartureNotice(now, m)
	case DepartureAck:
		r.handleDepartureAck(now, m)
	case spill.Report:
		r.Reports.Add(now, m)
	case spill.Table:
		r.handleSpillTable(now, from, m)
	case election.Term:
		r.observeEpoch(now, m.Epoch)
	default:
		r.List.Receive(now, from, msg)
	}
}

// handleStoreResponse passes a store's response to the call that waits for it, and pushes
// the configuration if the response brought a newer one.
func (r *Registry) handleStoreResponse(now ids.Time, from ids.Address, response consensus.Response) {
	before := r.configuration.view.Revision
	r.Client.HandleResponse(now, from, response)
	if !r.options.Incremental || r.configuration.view.Revision > before {
		r.pushToProxies(now)
	}
}
