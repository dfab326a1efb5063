package registrytest

import (
	"maps"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
)

// Link is the state of the connection between the registry and the majority.
type Link int

// The states of a Link.
const (
	// Connected delivers all messages; the majority answers at once.
	Connected Link = iota
	// Partitioned drops messages in both directions.
	Partitioned
	// RepliesLost delivers requests, which take effect, but drops all replies.
	RepliesLost
	// NoMajority makes the store reject requests because it can't reach a majority.
	NoMajority
)

// Addresses of the registry, of the store that represents the majority, and of the proxy.
const (
	Self  ids.Address = "10.0.0.1:1"
	Store ids.Address = "10.0.0.2:1"
	Proxy ids.Address = "10.0.0.3:1"
)

const (
	proxyID ids.DaemonID = "proxy"
	zone    ids.Name     = "c"
	// runID is the run ID of every daemon.
	runID ids.RunID = 1

	tickInterval = 50 * time.Millisecond
	// connectTime is long enough for a registry to reach the majority.
	connectTime = 3 * time.Second
	// callTimeout is how long Call waits for a response.
	callTimeout = 10 * time.Second
)

// Harness is a registry, a simulated majority of stores, and a proxy. Link disconnects the
// registry from both.
type Harness struct {
	*registry.Registry
	Link Link
	Now  ids.Time
	// ChangeDelay is the simulated disk sync time of changes.
	ChangeDelay time.Duration
	// OnSend, if set, is called with every message that the registry sends.
	OnSend func(event.Send)

	values   map[ids.RegisterKey][]byte
	ops      map[consensus.Op]consensus.ChangeFunc
	answered map[uint64]registry.Response
	// delayed holds the responses delayed by ChangeDelay, earliest first.
	delayed []delayedResponse
}

type delayedResponse struct {
	deliverAt ids.Time
	consensus.Response
}

// New returns a harness whose registry has been connected to the majority for connectTime.
func New(options registry.Options) *Harness {
	harness := NewStarting(options)
	harness.Run(connectTime)
	return harness
}

// NewStarting returns a harness whose registry has just started.
func NewStarting(options registry.Options) *Harness {
	options.Self = membership.Member{ID: "registry", Address: Self, RunID: runID, Zone: zone}
	options.Seeds = []ids.Address{Store}
	options.Random = rand.New(rand.NewPCG(1, 1))
	harness := &Harness{
		Registry: registry.New(options),
		Now:      1,
		ops:      configuration.Ops(),
		values:   map[ids.RegisterKey][]byte{},
		answered: map[uint64]registry.Response{},
	}
	maps.Copy(harness.ops, election.Ops())
	return harness
}

// Value returns the value of the configuration register at the majority.
func (h *Harness) Value() []byte { return h.values[configuration.Key] }

// Step passes an event to the registry and executes its commands.
func (h *Harness) Step(ev event.Event) {
	for _, command := range h.Registry.Step(h.Now, ev) {
		switch command := command.(type) {
		case event.Send:
			h.send(command)
		case registry.Response:
			h.answered[command.ID] = command
		}
	}
}

func (h *Harness) send(s event.Send) {
	if h.OnSend != nil {
		h.OnSend(s)
	}
	switch msg := s.Message.(type) {
	case consensus.Request:
		h.serve(msg)
	case distribution.Push:
		h.acknowledge(msg)
	}
}

// acknowledge sends the proxy's acknowledgement of a push.
func (h *Harness) acknowledge(push distribution.Push) {
	if h.Link == Connected {
		h.DeliverFrom(Proxy, distribution.Ack{Proxy: proxyID, RunID: runID, Number: push.Number, Revision: push.Revision, Now: h.Now})
	}
}

// serve executes a request as a majority of stores would.
func (h *Harness) serve(request consensus.Request) {
	switch h.Link {
	case Partitioned:
		return
	case NoMajority:
		h.Deliver(consensus.Response{ID: request.ID, Attempt: request.Attempt, Outcome: consensus.Rejected})
		return
	}
	result := h.values[request.Key]
	if op := h.ops[request.Op]; op != nil {
		h.values[request.Key], result = op(request.Key, result, request.Arg)
	}
	response := consensus.Response{ID: request.ID, Attempt: request.Attempt, Outcome: consensus.Succeeded, Result: result}
	isDelayed := request.Op != consensus.Read && h.ChangeDelay > 0
	switch {
	case h.Link != Connected:
	case isDelayed:
		h.delayed = append(h.delayed, delayedResponse{h.Now.Add(h.ChangeDelay), response})
	default:
		h.Deliver(response)
	}
}

// Deliver passes a message from the store to the registry.
func (h *Harness) Deliver(msg any) { h.DeliverFrom(Store, msg) }

// DeliverFrom passes a message from an address to the registry.
func (h *Harness) DeliverFrom(from ids.Address, msg any) {
	h.Step(event.Received{From: from, Message: msg})
}

// Run advances time by duration.
func (h *Harness) Run(duration time.Duration) {
	for end := h.Now.Add(duration); h.Now < end; {
		h.tick()
	}
}

func (h *Harness) tick() {
	h.Now = h.Now.Add(tickInterval)
	if h.Link == Connected || h.Link == NoMajority {
		h.sendHeartbeat(membership.Member{ID: "store", Role: membership.Store, Address: Store})
	}
	if h.Link == Connected {
		h.sendHeartbeat(membership.Member{ID: proxyID, Role: membership.Proxy, Address: Proxy, Zone: zone})
	}
	for len(h.delayed) > 0 && h.Now >= h.delayed[0].deliverAt {
		first := h.delayed[0]
		h.delayed = h.delayed[1:]
		h.Deliver(first.Response)
	}
	h.Step(event.Tick{})
}

// sendHeartbeat passes a member's heartbeat to the registry. Its incarnation is higher than
// that of any earlier one, so it refutes suspicions and declarations of death.
func (h *Harness) sendHeartbeat(member membership.Member) {
	member.RunID, member.Ready, member.Incarnation = runID, true, ids.Incarnation(h.Now)
	h.Deliver(membership.Heartbeat{Self: member})
}

// Call makes a call, and returns its response and how long that took. If there is no
// response within callTimeout, the returned one has no status.
func (h *Harness) Call(id uint64, call event.Event) (registry.Response, time.Duration) {
	began := h.Now
	h.Step(call)
	for {
		if response, ok := h.answered[id]; ok {
			delete(h.answered, id)
			return response, h.Now.Sub(began)
		}
		if h.Now.Sub(began) > callTimeout {
			return registry.Response{ID: id}, callTimeout
		}
		h.tick()
	}
}
