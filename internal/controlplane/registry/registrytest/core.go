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
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/state/policy"
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
	// Declining: a store answers that it reaches no majority.
	Declining
)

// Addresses of the registry, of the store that stands for the majority, and of
// the proxy.
const (
	Self  ids.Address = "10.0.0.1:1"
	Store ids.Address = "10.0.0.2:1"
	Proxy ids.Address = "10.0.0.3:1"
)

const (
	proxy     ids.Daemon = "proxy"
	tickEvery            = 50 * time.Millisecond
	// giveUp is when a call counts as never answered.
	giveUp = 10 * time.Second
)

// Core is a registry, the majority that it asks, and a proxy on the majority's
// side of whatever cuts the registry off.
type Core struct {
	*registry.Registry
	Link Link
	Now  ids.Time
	// Slow is how long changes take that a disk must hold.
	Slow time.Duration
	// Sent, if set, sees every message that the registry sends.
	Sent     func(event.Send)
	values   map[ids.Key][]byte
	ops      map[consensus.Op]consensus.ChangeFunc
	answered map[uint64]registry.Response
	late     []lateResponse
}

// lateResponse is an answer that a slow disk holds up.
type lateResponse struct {
	due ids.Time
	consensus.Response
}

// New makes a registry that has been in touch with its majority for a while.
func New(options registry.Options) *Core {
	core := NewStarting(options)
	core.Run(3 * time.Second)
	return core
}

// NewStarting makes a registry that has just started.
func NewStarting(options registry.Options) *Core {
	options.Self = membership.Member{ID: "registry", Address: Self, Start: 1, Zone: "c"}
	options.Seeds = []ids.Address{Store}
	options.Random = rand.New(rand.NewPCG(1, 1))
	core := &Core{Registry: registry.New(options), Now: 1, ops: policy.Ops(), values: map[ids.Key][]byte{}, answered: map[uint64]registry.Response{}}
	maps.Copy(core.ops, election.Ops())
	return core
}

// Value is the policy's register as the majority has it.
func (c *Core) Value() []byte { return c.values[policy.Key] }

// Step hands an event to the registry and carries its commands out.
func (c *Core) Step(ev event.Event) {
	for _, command := range c.Registry.Step(c.Now, ev) {
		switch command := command.(type) {
		case event.Send:
			c.send(command)
		case registry.Response:
			c.answered[command.ID] = command
		}
	}
}

func (c *Core) send(s event.Send) {
	if c.Sent != nil {
		c.Sent(s)
	}
	switch msg := s.Msg.(type) {
	case consensus.Request:
		c.serve(msg)
	case distribution.Push:
		c.acknowledge(msg)
	}
}

// acknowledge has the proxy go by what it was sent.
func (c *Core) acknowledge(push distribution.Push) {
	if c.Link == Connected {
		c.HearFrom(Proxy, distribution.Ack{Proxy: proxy, Start: 1, Number: push.Number, Revision: push.Revision, Now: c.Now})
	}
}

// serve carries a request out as a majority of stores would.
func (c *Core) serve(request consensus.Request) {
	switch c.Link {
	case Silent:
		return
	case Declining:
		c.hear(consensus.Response{ID: request.ID, Try: request.Try, State: consensus.Declined})
		return
	}
	result := c.values[request.Key]
	slow := request.Op != consensus.Read && c.Slow > 0
	if op := c.ops[request.Op]; op != nil {
		c.values[request.Key], result = op(request.Key, result, request.Arg)
	}
	response := consensus.Response{ID: request.ID, Try: request.Try, State: consensus.Done, Result: result}
	switch {
	case c.Link != Connected:
	case slow:
		c.late = append(c.late, lateResponse{c.Now.Add(c.Slow), response})
	default:
		c.hear(response)
	}
}

// Hear hands the registry a message as if the majority's side had sent it.
func (c *Core) Hear(msg any) { c.hear(msg) }

func (c *Core) hear(msg any) { c.HearFrom(Store, msg) }

// HearFrom hands the registry a message of one that the majority's side names.
func (c *Core) HearFrom(from ids.Address, msg any) { c.Step(event.Received{From: from, Msg: msg}) }

// Run lets time pass.
func (c *Core) Run(span time.Duration) {
	for end := c.Now.Add(span); c.Now < end; {
		c.tick()
	}
}

func (c *Core) tick() {
	c.Now = c.Now.Add(tickEvery)
	if c.Link == Connected || c.Link == Declining {
		c.beat(membership.Member{ID: "store", Role: membership.Store, Address: Store})
	}
	if c.Link == Connected {
		c.beat(membership.Member{ID: proxy, Role: membership.Proxy, Address: Proxy, Zone: "c"})
	}
	for len(c.late) > 0 && c.Now >= c.late[0].due {
		first := c.late[0]
		c.late = c.late[1:]
		c.hear(first.Response)
	}
	c.Step(event.Tick{})
}

func (c *Core) beat(member membership.Member) {
	member.Start, member.Ready, member.Incarnation = 1, true, ids.Incarnation(c.Now)
	c.hear(membership.Heartbeat{Self: member})
}

// Call hands a call in, and gives its answer and how long that took.
func (c *Core) Call(id uint64, call event.Event) (registry.Response, time.Duration) {
	began := c.Now
	c.Step(call)
	for {
		if response, ok := c.answered[id]; ok {
			delete(c.answered, id)
			return response, c.Now.Since(began)
		}
		if c.Now.Since(began) > giveUp {
			return registry.Response{ID: id}, giveUp
		}
		c.tick()
	}
}
