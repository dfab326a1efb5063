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
	Always bool
	// Derive: set points that nobody named follow from what targets state.
	Derive bool
}

func (p *Options) fill() {
	if p.PlanEvery == 0 {
		p.PlanEvery = 30 * time.Second
	}
	if p.ControlLease == 0 {
		p.ControlLease = distribution.ControlLease
	}
	if p.Lifetime == 0 {
		p.Lifetime = 2 * time.Second
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

	raw []byte
	// deltas are differences to the configuration in force, by the revision they are from.
	deltas map[ids.Revision][]byte
	// whole is the register's value as it was last read, and sum sums it up.
	whole         []byte
	sum           uint64
	configuration *configuration.Document
	view          *configuration.View
	// agreed is when a majority last told us the configuration.
	agreed  ids.Time
	reading bool
	poll    ids.Time
	share   ids.Time
	woke    ids.Time
	// stopping: the process was told to end.
	stopping bool
	// delivered is when proxies were last told what they lack.
	delivered ids.Time
	last      ids.Time
	// began is when this run had its first clock event.
	began  ids.Time
	seen   directory.Snapshot
	seenBy snapshotKey
	seenAt ids.Time
	// partings are targets that wait to hear that they may stop.
	departures []departure
	// awaited are control calls that wait for an agreement.
	awaited []agreementCall
	held    []heldCall
	peers

	plans
}

// New makes a registry that knows nothing yet.
func New(p Options) *Registry {
	p.fill()
	p.Self.Role = membership.Registry
	f := &Registry{options: p, Targets: targets.New(), Reports: spill.NewReports()}
	f.Targets.Thrifty, f.Targets.Self = p.Incremental, p.Self.ID
	f.List = membership.New(p.Options, &f.Outbox)
	f.List.MayDeclareDead = func(now ids.Time) bool { return f.age(now) < declareDeadWithin }
	f.Client = consensus.NewClient(p.Self.RunID, &f.Outbox)
	f.Client.StoreOrder = f.stores
	f.Distributor = distribution.New(p.Self.RunID, &f.Outbox)
	if p.Derive {
		// Two reports and more, of a plan's period each.
		f.Reports.Span = 2*p.PlanEvery + 100*time.Millisecond
	}
	if p.Incremental {
		f.Distributor.RefreshEvery, f.Distributor.ResendAfter = time.Second, 400*time.Millisecond
		f.Distributor.Quiet = true
		f.Distributor.Spare = func(c membership.Member) bool { return !f.nearest(c) }
	}
	f.configuration, _ = configuration.Decode(nil)
	f.view = f.configuration.View()
	f.view.SetRegions(p.Regions)
	f.plans = newPlans()
	f.peers = newPeers()
	return f
}

// stores names the stores to ask. For the configuration all registries go to the
// first live one, so that proposers seldom duel; ballots keep it safe anyway.
func (f *Registry) stores(ids.RegisterKey) []ids.Address {
	var out, rest []ids.Address
	for _, m := range f.Live(membership.Store) {
		if m.Ready {
			out = append(out, m.Address)
		} else {
			rest = append(rest, m.Address)
		}
	}
	return append(out, rest...)
}

const (
	// deliverEvery bounds how often what isn't urgent is told.
	deliverEvery = 150 * time.Millisecond
	pollEvery    = 500 * time.Millisecond
	shareEvery   = time.Second
	// declareDeadWithin is how old an agreement may be for a registry to declare
	// members dead. It is less than what a verdict takes from the last sign of
	// life on, so that one cut off from the majority never passes any.
	declareDeadWithin = 1500 * time.Millisecond
	// proxyLag is how long a proxy may leave a change unacknowledged
	// before the directory leaves it out.
	proxyLag = 2 * time.Second
)

// Step is the machine's one entrance.
func (f *Registry) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case event.Received:
		f.RecordContact(now, e.From)
		f.receive(now, e.From, e.Msg)
	case event.Tick:
		f.clock(now)
	default:
		f.call(now, ev)
	}
	return f.Drain()
}

func (f *Registry) clock(now ids.Time) {
	if f.last != 0 && now.Sub(f.last) > time.Second {
		f.woke = now
		f.Log(event.LevelWarn, "woke", "gap_ms", itoa(uint64(now.Sub(f.last)/time.Millisecond)))
	}
	f.last = now
	if f.began == 0 {
		f.began = now
	}
	f.Announce(!f.stopping && f.agreed != 0 && now.Sub(f.agreed) < 5*time.Second, f.view.Revision)
	f.List.Tick(now)
	f.endOverdue(now)
	f.beginHeld(now)
	f.Client.Tick(now)
	f.keepPeers(now)
	silent := f.silent(now)
	if f.options.Incremental {
		f.tellRegistries(silent)
	}
	for _, t := range silent {
		f.Log(event.LevelWarn, "target silent", "target", string(t.Instance), "service", string(t.Service), "address", string(t.Address))
	}
	f.Targets.Forget(now, time.Hour)
	if (now >= f.poll || f.probeDue(now)) && !f.reading && f.answerable() {
		f.readConfiguration(now)
	}
	if now >= f.share {
		f.share = now.Add(shareEvery)
		f.shareTargets(now)
	}
	if !f.options.Incremental || now.Sub(f.delivered) >= deliverEvery {
		f.deliver(now)
	}
	f.part(now)
	f.planning(now)
}

func (f *Registry) receive(now ids.Time, from ids.Address, msg any) {
	if why := f.screen(from, msg); why != "" {
		f.Discard(from, why, msg)
		return
	}
	switch m := msg.(type) {
	case consensus.Response:
		before := f.view.Revision
		f.Client.HandleResponse(now, from, m)
		if !f.options.Incremental || f.view.Revision > before {
			f.deliver(now)
		}
	case consensus.Chosen:
		f.chosen(now, m)
	case consensus.ChosenDifference:
		f.chosenDifference(now, m)
	case distribution.Ack:
		f.Distributor.HandleAck(now, m)
		if f.options.Incremental && !f.Distributor.IsCurrent(m.Proxy, m.RunID) && m.TargetsDigest == f.Targets.Exact() {
			f.Distributor.HasAll(m.Proxy, m.RunID, f.forProxies(now))
		}
		f.part(now)
	case targets.Update:
		f.shared(now, m.List)
	case PeerHeartbeat:
		f.pulsed(now, m)
	case TableDigest:
		f.compared(now, from, m)
	case DepartureNotice:
		f.owes = append(f.owes, m)
		f.part(now)
	case DepartureAck:
		f.parted(now, m)
	case spill.Report:
		f.Reports.Enter(now, m)
	case spill.Table:
		f.takeTable(now, from, m)
	case election.Term:
		f.raise(now, m.Epoch)
	default:
		f.List.Receive(now, from, msg)
	}
}
