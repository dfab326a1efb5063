// Package registrytest drives one real registry against a stand-in for the
// core's majority, in virtual time, so that tests can cut it off.
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

// Link is how the registry's way to the majority stands.
type Link int

const (
	// Connected: the majority answers at once.
	Connected Link = iota
	// Silent: nothing gets through, either way.
	Silent
	// OneWay: requests arrive and are carried out, but no answer comes back.
	OneWay
	// Rejecting: a store answers that it reaches no majority.
	Rejecting
)

// Addresses of the registry, of the store that stands for the majority, and of
// the proxy.
const (
	Self  ids.Address = "10.0.0.1:1"
	Store ids.Address = "10.0.0.2:1"
	Proxy ids.Address = "10.0.0.3:1"
)

const (
	proxy     ids.DaemonID = "proxy"
	tickEvery              = 50 * time.Millisecond
	// callTimeout is when a call counts as never answered.
	callTimeout = 10 * time.Second
)

// Harness is a registry, the majority that it asks, and a proxy on the majority's
// side of whatever cuts the registry off.
type Harness struct {
	*registry.Registry
	Link Link
	Now  ids.Time
	// ChangeDelay is how long changes take that a disk must hold.
	ChangeDelay time.Duration
	// Sent, if set, sees every message that the registry sends.
	OnSend   func(event.Send)
	values   map[ids.RegisterKey][]byte
	ops      map[consensus.Op]consensus.ChangeFunc
	answered map[uint64]registry.Response
	delayed  []delayedResponse
}

// delayedResponse is an answer that a slow disk holds up.
type delayedResponse struct {
	deliverAt ids.Time
	consensus.Response
}

// New makes a registry that has been in touch with its majority for a while.
func New(options registry.Options) *Harness {
	harness := NewStarting(options)
	harness.Run(3 * time.Second)
	return harness
}

// NewStarting makes a registry that has just started.
func NewStarting(options registry.Options) *Harness {
	options.Self = membership.Member{ID: "registry", Address: Self, RunID: 1, Zone: "c"}
	options.Seeds = []ids.Address{Store}
	options.Random = rand.New(rand.NewPCG(1, 1))
	harness := &Harness{Registry: registry.New(options), Now: 1, ops: configuration.Ops(), values: map[ids.RegisterKey][]byte{}, answered: map[uint64]registry.Response{}}
	maps.Copy(harness.ops, election.Ops())
	return harness
}

// Value is the configuration's register as the majority has it.
func (h *Harness) Value() []byte { return h.values[configuration.Key] }

// Step hands an event to the registry and carries its commands out.
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
	switch msg := s.Msg.(type) {
	case consensus.Request:
		h.serve(msg)
	case distribution.Push:
		h.acknowledge(msg)
	}
}

// acknowledge has the proxy go by what it was sent.
func (h *Harness) acknowledge(push distribution.Push) {
	if h.Link == Connected {
		h.DeliverFrom(Proxy, distribution.Ack{Proxy: proxy, RunID: 1, Number: push.Number, Revision: push.Revision, Now: h.Now})
	}
}

// serve carries a request out as a majority of stores would.
func (h *Harness) serve(request consensus.Request) {
	switch h.Link {
	case Silent:
		return
	case Rejecting:
		h.deliver(consensus.Response{ID: request.ID, Attempt: request.Attempt, Outcome: consensus.Rejected})
		return
	}
	result := h.values[request.Key]
	slow := request.Op != consensus.Read && h.ChangeDelay > 0
	if op := h.ops[request.Op]; op != nil {
		h.values[request.Key], result = op(request.Key, result, request.Arg)
	}
	response := consensus.Response{ID: request.ID, Attempt: request.Attempt, Outcome: consensus.Succeeded, Result: result}
	switch {
	case h.Link != Connected:
	case slow:
		h.delayed = append(h.delayed, delayedResponse{h.Now.Add(h.ChangeDelay), response})
	default:
		h.deliver(response)
	}
}

// Deliver hands the registry a message as if the majority's side had sent it.
func (h *Harness) Deliver(msg any) { h.deliver(msg) }

func (h *Harness) deliver(msg any) { h.DeliverFrom(Store, msg) }

// DeliverFrom hands the registry a message of one that the majority's side names.
func (h *Harness) DeliverFrom(from ids.Address, msg any) {
	h.Step(event.Received{From: from, Msg: msg})
}

// Run lets time pass.
func (h *Harness) Run(span time.Duration) {
	for end := h.Now.Add(span); h.Now < end; {
		h.tick()
	}
}

func (h *Harness) tick() {
	h.Now = h.Now.Add(tickEvery)
	if h.Link == Connected || h.Link == Rejecting {
		h.sendHeartbeat(membership.Member{ID: "store", Role: membership.Store, Address: Store})
	}
	if h.Link == Connected {
		h.sendHeartbeat(membership.Member{ID: proxy, Role: membership.Proxy, Address: Proxy, Zone: "c"})
	}
	for len(h.delayed) > 0 && h.Now >= h.delayed[0].deliverAt {
		first := h.delayed[0]
		h.delayed = h.delayed[1:]
		h.deliver(first.Response)
	}
	h.Step(event.Tick{})
}

func (h *Harness) sendHeartbeat(member membership.Member) {
	member.RunID, member.Ready, member.Incarnation = 1, true, ids.Incarnation(h.Now)
	h.deliver(membership.Heartbeat{Self: member})
}

// Call hands a call in, and gives its answer and how long that took.
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
