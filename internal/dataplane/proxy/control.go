// Package proxy is the proxy: it carries clients' requests to targets and
// knows nothing but what is pushed to it.
package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// Control is the proxy's control machine.
type Control struct {
	event.Outbox
	ControlOptions
	*membership.List
	Client  *consensus.Client
	targets *targets.Table
	// configuration is what is in force here, as far as is known; view is it, read.
	configuration *configuration.Document
	view          *configuration.View
	// targetsConfirmedAt is as of when the targets are known, by a registry's word; agreed is
	// when the newest agreement began by which the configuration held here is in force.
	targetsConfirmedAt       ids.Time
	configurationConfirmedAt ids.Time
	// told: a registry has told of targets in this run; current: what this proxy goes
	// by was once confirmed by a fresh agreement. opened: a proxy with an endless
	// lease has begun to serve; unconfirmed is since when it could have, but for the
	// age of what it was told.
	targetsReceived, everConfirmed, serving bool
	unconfirmedSince                        ids.Time
	// sentConfirmedAt is as of when the dispatchers were last told how long they may serve.
	sentConfirmedAt ids.Time
	resumedAt       ids.Time
	lastTick        ids.Time
	gossipState
	// stopping: asked to stop, so no new work and none is to be sent here.
	stopping bool
	// drainedSince is since when this zone is emptied; late, that this proxy could
	// not have heard of it in time, and so has no time left.
	drainedSince ids.Time
	drainedLate  bool
	// reading: this proxy asks the stores itself what is in force.
	readingConfiguration bool
	proxyLastSeen        map[ids.DaemonID]ids.Time
	reportNumber         ids.StreamNumber
	sentState            stateVersion
	refreshPace
	servingState       ServingState
	sentMembersVersion uint64
	// sentServices are the services whose dispatchers were stocked last.
	sentServices []ids.Name
	// slowStartUntil are until when targets count as cold whatever they said: they were
	// out of use and may have gone cold since.
	slowStartUntil map[ids.Name]ids.Time
	// proximities are worked out anew for each restocking, by zone.
	proximities map[ids.Name]proximity
}

// stateVersion tells whether anything that dispatchers go by has changed.
type stateVersion struct {
	targets, members  uint64
	revision          ids.Revision
	confirmed, closed bool
	serving           bool
	slotHolders       int
}

const (
	// cutOffTimeout is how long without word from any registry counts as cut off.
	cutOffTimeout = 1500 * time.Millisecond
	// zoneDrainDelay is when an emptied zone's proxy stops even forwarding; until
	// then clients who were sent here before are still carried elsewhere.
	zoneDrainDelay = 2 * time.Second
	// maxConfirmationAge bounds the age of the agreement that a ready proxy goes
	// by: a registry on the wrong side of a split speaks, but knows no better.
	maxConfirmationAge = 1900 * time.Millisecond
	freezeThreshold    = time.Second
	// DefaultLease is how long a proxy serves by what it can't confirm: the
	// rules give a change 2 to 3 s to be in force, whatever is cut.
	DefaultLease = 2500 * time.Millisecond
)

// ControlOptions of a control machine; zero ones take the defaults.
type ControlOptions struct {
	// Lease is how long requests are served by a configuration and targets that can't
	// be confirmed.
	Lease time.Duration
	SlotLayout
}

// EndlessLease is the lease of a proxy that goes on serving by what it last knew,
// however long it is cut off.
const EndlessLease = -1

// New makes a control machine that knows only itself and its seeds.
func New(p membership.Options, o ControlOptions) *Control {
	p.Self.Role = membership.Proxy
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	c := &Control{ControlOptions: o, targets: targets.New(), proxyLastSeen: map[ids.DaemonID]ids.Time{}}
	c.targets.Incremental = o.ByZone
	c.List = membership.New(p, &c.Outbox)
	c.Client = consensus.NewClient(p.Self.RunID, &c.Outbox)
	c.Client.StoreOrder = c.orderStores
	empty, _ := configuration.Decode(nil)
	c.configuration, c.view = empty, empty.View()
	c.view.SetRegions(o.Regions)
	return c
}

// orderStores names the stores, nearest and ready ones first.
func (c *Control) orderStores(ids.RegisterKey) []ids.Address {
	var near, far, rest []ids.Address
	for _, m := range c.Live(membership.Store) {
		switch {
		case !m.Ready:
			rest = append(rest, m.Address)
		case m.Zone == c.Self.Zone || c.view.Distance(c.Self.Zone, m.Zone) <= 1:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return append(append(near, far...), rest...)
}

// Step is the machine's one entrance.
func (c *Control) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case event.Received:
		c.RecordContact(now, e.From)
		c.receive(now, e.From, e.Msg)
	case event.Tick:
		c.tick(now)
	case IdempotencyRequest:
		c.callIdempotencyRegister(now, e)
	case UsageSample:
		c.reportUsage(e)
	case Stopping:
		c.announceStop()
	}
	return c.Drain()
}

func (c *Control) receive(now ids.Time, from ids.Address, msg any) {
	switch m := msg.(type) {
	case distribution.Push:
		c.handlePush(now, from, m)
	case consensus.Response:
		c.Client.HandleResponse(now, from, m)
	case consensus.ConfigurationQuery:
		if c.view.Revision > 0 {
			c.Send(from, consensus.ConfigurationReply{Revision: c.view.Revision, Configuration: c.configuration.Encode(false)})
		}
	case LeaseRequest:
		c.answerLeaseRequest(now, from, m)
	case LeaseGossip:
		c.handleLeaseGossip(now, from, m)
	default:
		c.List.Receive(now, from, msg)
	}
}

// handlePush takes what a registry delivers. Dispatchers have it before it is acknowledged.
func (c *Control) handlePush(now ids.Time, from ids.Address, p distribution.Push) {
	if p.Revision > c.view.Revision && len(p.Configuration) > 0 {
		c.adoptConfiguration(now, p.Configuration)
	}
	// A push may have waited in a socket while this process slept. Only what
	// it echoes tells how old it can be at most.
	if p.EchoedTime == 0 || p.ProxyRunID != c.Self.RunID || p.EchoedTime > now {
		c.targets.Merge(now, p.Targets...)
	} else {
		c.targets.MergeAsOf(now, p.EchoedTime, p.Targets...)
		c.targetsConfirmedAt, c.targetsReceived = max(c.targetsConfirmedAt, p.TargetsAsOf()), true
		c.confirmConfiguration(now, p.Revision, p.ConfirmedAsOf())
	}
	c.unacknowledged = append(c.unacknowledged, receivedPush{from, p.Number})
	c.refreshDispatchers(now)
}

// adoptConfiguration takes a newer configuration; a proxy never goes back to an older one.
func (c *Control) adoptConfiguration(now ids.Time, raw []byte) {
	p, err := c.configuration.Advance(raw)
	if err != nil || p == c.configuration {
		return
	}
	late := !c.leaseValid(now)
	old := c.view
	c.configuration, c.view = p, p.View()
	c.view.SetRegions(c.Regions)
	c.startSlowStart(now, old)
	switch {
	case !c.view.Zones[c.Self.Zone].Drained:
		c.drainedSince, c.drainedLate = 0, false
	case c.drainedSince == 0:
		c.drainedSince, c.drainedLate = now, late
	}
	c.Emit(UpdateRoutes{View: c.view})
	c.Log(event.LevelInfo, "policy", "revision", formatUint(uint64(p.Revision)))
}
