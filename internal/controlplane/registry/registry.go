// Package registry is the registry: targets, liveness, the directory, the
// spill planner and every outside control call, as one pure machine.
package registry

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/directory"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
)

// Options are the options of a registry; zero ones take the defaults.
type Options struct {
	membership.Options
	Random    *rand.Rand
	PlanEvery time.Duration
	Lifetime  time.Duration
	// ControlLease is how old an agreement may be for this registry to confirm,
	// refuse or hand out anything. Reads begin every second, and one that a lost
	// store holds up is answered by the next store within another 400 ms.
	ControlLease time.Duration
	// Regions are the zones that this daemon was told of, and their regions.
	Regions map[ids.Name]string
	// Thrifty: targets are told of only as something changes, and registries keep
	// one another up to date on who is there.
	Incremental bool
	// Always: the directory names somebody wherever it knows anybody.
	AlwaysAnswer bool
	// Derive: set points that nobody named follow from what targets state.
	DeriveLevels bool
}

func (o *Options) setDefaults() {
	if o.PlanEvery == 0 {
		o.PlanEvery = 30 * time.Second
	}
	if o.ControlLease == 0 {
		o.ControlLease = distribution.ControlLease
	}
	if o.Lifetime == 0 {
		o.Lifetime = 2 * time.Second
	}
}

// Registry is the machine.
type Registry struct {
	event.Outbox
	*membership.List
	Client      *consensus.Client
	Targets     *targets.Table
	Distributor *distribution.Distributor
	Reports     *spill.Reports
	options     Options

	encodedConfiguration []byte
	// configurationDeltas are differences to the configuration in force, by the revision they are from.
	configurationDeltas map[ids.Revision][]byte
	// registerValue is the register's value as it was last read, and sum sums it up.
	registerValue    []byte
	registerChecksum uint64
	configuration    *configuration.Document
	view             *configuration.View
	// agreedAt is when a majority last told us the configuration.
	agreedAt       ids.Time
	readPending    bool
	nextRead       ids.Time
	nextTargetSync ids.Time
	resumedAt      ids.Time
	// stopping: the process was told to end.
	stopping bool
	// lastPush is when proxies were last told what they lack.
	lastPush ids.Time
	lastTick ids.Time
	// startedAt is when this run had its first clock event.
	startedAt         ids.Time
	cachedSnapshot    directory.Snapshot
	cachedSnapshotKey snapshotKey
	cachedSnapshotAt  ids.Time
	// partings are targets that wait to hear that they may stop.
	departures []departure
	// pendingCalls are control calls that wait for an agreement.
	pendingCalls  []pendingCall
	deferredCalls []deferredCall
	peers

	plannerState
}

// New makes a registry that knows nothing yet.
func New(options Options) *Registry {
	options.setDefaults()
	options.Self.Role = membership.Registry
	r := &Registry{options: options, Targets: targets.New(), Reports: spill.NewReports()}
	r.Targets.Incremental, r.Targets.Self = options.Incremental, options.Self.ID
	r.List = membership.New(options.Options, &r.Outbox)
	r.List.MayDeclareDead = func(now ids.Time) bool { return r.agreementAge(now) < declareDeadWithinAge }
	r.Client = consensus.NewClient(options.Self.RunID, &r.Outbox)
	r.Client.StoreOrder = r.storeOrder
	r.Distributor = distribution.New(options.Self.RunID, &r.Outbox)
	if options.DeriveLevels {
		// Two reports and more, of a plan's period each.
		r.Reports.AveragingWindow = 2*options.PlanEvery + 100*time.Millisecond
	}
	if options.Incremental {
		r.Distributor.RefreshInterval, r.Distributor.InitialRetryTimeout = time.Second, 400*time.Millisecond
		r.Distributor.SkipEmptyPushes = true
		r.Distributor.IsBackup = func(c membership.Member) bool { return !r.isNearestRegistry(c) }
	}
	r.configuration, _ = configuration.Decode(nil)
	r.view = r.configuration.View()
	r.view.SetRegions(options.Regions)
	r.plannerState = newPlannerState()
	r.peers = newPeers()
	return r
}

// storeOrder names the stores to ask. For the configuration all registries go to the
// first live one, so that proposers seldom duel; ballots keep it safe anyway.
func (r *Registry) storeOrder(ids.RegisterKey) []ids.Address {
	var out, rest []ids.Address
	for _, m := range r.Live(membership.Store) {
		if m.Ready {
			out = append(out, m.Address)
		} else {
			rest = append(rest, m.Address)
		}
	}
	return append(out, rest...)
}

const (
	// pushInterval bounds how often what isn't urgent is told.
	pushInterval       = 150 * time.Millisecond
	pollInterval       = 500 * time.Millisecond
	targetSyncInterval = time.Second
	// declareDeadWithinAge is how old an agreement may be for a registry to declare
	// members dead. It is less than what a verdict takes from the last sign of
	// life on, so that one cut off from the majority never passes any.
	declareDeadWithinAge = 1500 * time.Millisecond
	// maxProxyLag is how long a proxy may leave a change unacknowledged
	// before the directory leaves it out.
	maxProxyLag = 2 * time.Second
)

// Step is the machine's one entrance.
func (r *Registry) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case event.Received:
		r.RecordContact(now, e.From)
		r.receive(now, e.From, e.Msg)
	case event.Tick:
		r.tick(now)
	default:
		r.handleCall(now, ev)
	}
	return r.Drain()
}

func (r *Registry) tick(now ids.Time) {
	if r.lastTick != 0 && now.Sub(r.lastTick) > time.Second {
		r.resumedAt = now
		r.Log(event.LevelWarn, "woke", "gap_ms", formatUint(uint64(now.Sub(r.lastTick)/time.Millisecond)))
	}
	r.lastTick = now
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.UpdateSelf(!r.stopping && r.agreedAt != 0 && now.Sub(r.agreedAt) < 5*time.Second, r.view.Revision)
	r.List.Tick(now)
	r.abandonOverdueCalls(now)
	r.runDeferredCalls(now)
	r.Client.Tick(now)
	r.tickPeers(now)
	silent := r.expireSilentTargets(now)
	if r.options.Incremental {
		r.sendTargetsToPeers(silent)
	}
	for _, t := range silent {
		r.Log(event.LevelWarn, "target silent", "target", string(t.Instance), "service", string(t.Service), "address", string(t.Address))
	}
	r.Targets.Forget(now, time.Hour)
	if (now >= r.nextRead || r.probeDue(now)) && !r.readPending && r.knowsStore() {
		r.pollConfiguration(now)
	}
	if now >= r.nextTargetSync {
		r.nextTargetSync = now.Add(targetSyncInterval)
		r.syncTargets(now)
	}
	if !r.options.Incremental || now.Sub(r.lastPush) >= pushInterval {
		r.pushToProxies(now)
	}
	r.completeDepartures(now)
	r.tickPlanner(now)
}

func (r *Registry) receive(now ids.Time, from ids.Address, msg any) {
	if why := r.checkSender(from, msg); why != "" {
		r.Discard(from, why, msg)
		return
	}
	switch m := msg.(type) {
	case consensus.Response:
		before := r.view.Revision
		r.Client.HandleResponse(now, from, m)
		if !r.options.Incremental || r.view.Revision > before {
			r.pushToProxies(now)
		}
	case consensus.Chosen:
		r.handleChosen(now, m)
	case consensus.ChosenDifference:
		r.handleChosenDifference(now, m)
	case distribution.Ack:
		r.Distributor.HandleAck(now, m)
		if r.options.Incremental && !r.Distributor.IsCurrent(m.Proxy, m.RunID) && m.TargetsDigest == r.Targets.ProxyDigest() {
			r.Distributor.ConfirmTargets(m.Proxy, m.RunID, r.targetsForProxies(now))
		}
		r.completeDepartures(now)
	case targets.Update:
		r.handleTargetUpdate(now, m.Targets)
	case PeerHeartbeat:
		r.handlePeerHeartbeat(now, m)
	case TableDigest:
		r.handleTableDigest(now, from, m)
	case DepartureNotice:
		r.owedAcks = append(r.owedAcks, m)
		r.completeDepartures(now)
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
