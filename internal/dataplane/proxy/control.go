package proxy

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// Control is the proxy's control state machine: it maintains configuration, targets, lease
// and membership, and derives the state of the dispatchers from them. It performs no I/O and
// is not safe for concurrent use.
type Control struct {
	event.Outbox
	ControlOptions
	*membership.List
	// Client calls the replicated registers.
	Client  *consensus.Client
	targets *targets.Table
	// configuration is the newest known configuration; view is its parsed form.
	configuration *configuration.Document
	view          *configuration.View
	leaseState
	gossipState
	drainState
	// stopping is set during a graceful shutdown, when the directory must no longer return
	// this proxy.
	stopping bool
	// queryingStores is set while a read of the configuration register is in flight.
	queryingStores bool
	// reportNumber numbers the usage reports, so that registries can ignore late ones.
	reportNumber ids.StreamNumber
	refreshState
	servingState ServingState
	// sentMembersVersion is the membership version in the last ServingState.
	sentMembersVersion uint64
	slotState
}

// ControlOptions are the options of a Control; zero values select the defaults.
type ControlOptions struct {
	// Lease is how long requests are served without a confirmation of configuration and
	// targets; DefaultLease if zero, unlimited if UnlimitedLease.
	Lease time.Duration
	SlotLayout
}

// New returns a Control that knows only itself and its seeds.
func New(members membership.Options, options ControlOptions) *Control {
	members.Self.Role = membership.Proxy
	if options.Lease == 0 {
		options.Lease = DefaultLease
	}
	c := &Control{ControlOptions: options, targets: targets.New()}
	c.proxyLastSeen = map[ids.DaemonID]ids.Time{}
	c.targets.Incremental = options.ByZone
	c.List = membership.New(members, &c.Outbox)
	c.Client = consensus.NewClient(members.Self.RunID, &c.Outbox)
	c.Client.StoreOrder = c.orderStores
	c.configuration = emptyConfiguration()
	c.view = c.configuration.View()
	c.view.SetRegions(options.Regions)
	return c
}

// orderStores returns the addresses of the stores in the order to call them: nearby ready
// stores, other ready stores, then those that aren't ready.
func (c *Control) orderStores(ids.RegisterKey) []ids.Address {
	var near, far, notReady []ids.Address
	for _, m := range c.Live(membership.Store) {
		switch {
		case !m.Ready:
			notReady = append(notReady, m.Address)
		case m.Zone == c.Self.Zone || c.view.Distance(c.Self.Zone, m.Zone) <= 1:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return append(append(near, far...), notReady...)
}

// Step handles an event and returns the resulting commands.
func (c *Control) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case event.Received:
		c.RecordContact(now, e.From)
		c.handleMessage(now, e.From, e.Message)
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

func (c *Control) handleMessage(now ids.Time, from ids.Address, msg any) {
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

// deadTargetRetention is how long the record of a dead target is kept, so that a late
// update doesn't add the target again.
const deadTargetRetention = time.Hour

// tick runs the periodic work. Recorded traces depend on the order of the steps.
func (c *Control) tick(now ids.Time) {
	c.detectPause(now)
	c.List.Tick(now)
	c.Client.Tick(now)
	// A failed registry may have been the only one to detect a target's missing heartbeats.
	if !c.ByZone {
		c.targets.ExpireSilent(now)
	}
	c.targets.PurgeDead(now, deadTargetRetention)
	c.queryStores(now)
	c.requestLease(now)
	c.UpdateSelf(c.ready(now), c.view.Revision)
	c.refreshDispatchers(now)
	c.publishServingState(now)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// formatMillis formats a duration in whole milliseconds, for log fields.
func formatMillis(d time.Duration) string { return formatUint(uint64(d / time.Millisecond)) }
