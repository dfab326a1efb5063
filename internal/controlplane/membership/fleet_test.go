package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// fleet simulates members in nine zones in virtual time, each with its own tick schedule and link
// delay. A run is fully determined by the seed.
type fleet struct {
	now    ids.Time
	random *rand.Rand
	// inTransit holds the messages that were sent and haven't arrived yet.
	inTransit []delivery
	nodes     []*node
	byAddress map[ids.Address]*node
	// cut, if set, reports whether messages between two addresses are dropped.
	cut func(from, to ids.Address) bool
	// loss is the fraction of messages that are dropped.
	loss float64
	// declarations counts the declarations of death by member.
	declarations map[string]int
}

// delivery is a message in transit.
type delivery struct {
	at       ids.Time
	from, to ids.Address
	msg      any
}

// node is one member of a fleet.
type node struct {
	list *List
	out  *event.Outbox
	down bool
	// nextTick is when the node's next tick is due.
	nextTick ids.Time
	// maxTickDelay, if not 0, simulates a starved process: the node waits a random time up to this
	// before the next tick, and doesn't read messages before then.
	maxTickDelay time.Duration
	// linkDelay returns the queueing delay of the node's link, which is added to the network
	// latency.
	linkDelay func() time.Duration
	// received holds the messages that haven't been read yet.
	received []delivery
}

const (
	fleetTick  = 50 * time.Millisecond
	fleetZones = 9
	// largeFleet is the number of proxies in a large fleet.
	largeFleet = 90
)

// newFleet returns a fleet of five registries, five stores and the given number of proxies.
func newFleet(seed uint64, proxies int) *fleet {
	f := &fleet{now: 1, random: rand.New(rand.NewPCG(seed, 7)), byAddress: map[ids.Address]*node{}, declarations: map[string]int{}}
	for _, kind := range []struct {
		role Role
		n    int
	}{{Registry, 5}, {Store, 5}, {Proxy, proxies}} {
		for i := range kind.n {
			f.add(kind.role, i)
		}
	}
	return f
}

// add adds the i-th member of a role.
func (f *fleet) add(role Role, i int) {
	at := ids.Address(fmt.Sprintf("machine-%d-%s", i, role))
	n := &node{out: &event.Outbox{}, linkDelay: func() time.Duration { return 0 }, nextTick: ids.Time(f.random.Int64N(int64(fleetTick))) + 1}
	self := Member{ID: ids.DaemonID(at), Role: role, Address: at, Zone: ids.Name(fmt.Sprintf("z%d", i%fleetZones)), RunID: 1, Incarnation: 1, Ready: true}
	n.list = New(Options{Self: self, Seeds: []ids.Address{"machine-0-registry", "machine-1-registry", "machine-2-registry"}, Incremental: true}, n.out)
	f.nodes = append(f.nodes, n)
	f.byAddress[at] = n
}

// advance advances the time in steps of 10 ms.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
		slices.SortStableFunc(f.inTransit, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for len(f.inTransit) > 0 && f.inTransit[0].at <= f.now {
			message := f.inTransit[0]
			f.inTransit = f.inTransit[1:]
			if n := f.byAddress[message.to]; !n.down {
				n.received = append(n.received, message)
			}
		}
		for _, n := range f.nodes {
			f.stepNode(n)
		}
	}
}

// stepNode makes a node read its received messages, tick if that is due, and send.
func (f *fleet) stepNode(n *node) {
	if n.down || n.maxTickDelay > 0 && f.now < n.nextTick {
		return
	}
	for _, message := range n.received {
		n.list.Receive(f.now, message.from, message.msg)
	}
	n.received = nil
	if f.now >= n.nextTick {
		n.nextTick = f.now.Add(fleetTick)
		if n.maxTickDelay > 0 {
			n.nextTick = f.now.Add(time.Duration(f.random.Int64N(int64(n.maxTickDelay))))
		}
		n.list.Tick(f.now)
		f.relay(n)
	}
	f.sendAll(n)
}

// relay sends a registry's changed members to all live members.
func (f *fleet) relay(n *node) {
	if n.list.Self.Role != Registry {
		return
	}
	if changed := n.list.DrainChanged(); len(changed) > 0 {
		for _, m := range n.list.All() {
			if !m.Dead && m.ID != n.list.Self.ID {
				n.out.Send(m.Address, Delta{Members: changed, Final: true})
			}
		}
	}
}

// sendAll sends a node's outgoing messages and counts its declarations of death.
func (f *fleet) sendAll(n *node) {
	for _, c := range n.out.Drain() {
		switch c := c.(type) {
		case event.LogEntry:
			if c.Event == "member_declared_dead" {
				f.declarations[c.Fields[1]]++
			}
		case event.Send:
			to := f.byAddress[c.To]
			if to == nil || f.random.Float64() < f.loss || f.cut != nil && f.cut(n.list.Self.Address, c.To) {
				continue
			}
			wait := time.Millisecond + time.Duration(f.random.Int64N(int64(30*time.Millisecond))) + n.linkDelay() + to.linkDelay()
			f.inTransit = append(f.inTransit, delivery{f.now.Add(wait), n.list.Self.Address, c.To, c.Message})
		}
	}
}

// sawtoothDelay returns the delay of a slow link whose queue repeatedly fills up and drains. The
// delay grows gradually at first, because a queue doesn't fill up instantly.
func (f *fleet) sawtoothDelay(depth, period time.Duration, phase float64) func() time.Duration {
	start := f.now
	return func() time.Duration {
		_, fill := math.Modf(float64(f.now)/float64(period) + phase)
		return min(time.Duration(fill*float64(depth)), f.now.Sub(start)/4)
	}
}

// allAlive reports whether all running registries list all nodes as live members.
func (f *fleet) allAlive() bool {
	for _, n := range f.nodes {
		if n.list.Self.Role == Registry && !n.down && len(n.list.liveMembers()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// injectFaults starves a third of the proxies, congests the links of half of them and drops
// messages. It stops no node.
func (f *fleet) injectFaults() {
	f.loss = 0.03
	for i, n := range f.nodes {
		if n.list.Self.Role != Proxy {
			continue
		}
		if i%3 == 0 {
			n.maxTickDelay = 700 * time.Millisecond
		}
		if i%2 == 0 {
			n.linkDelay = f.sawtoothDelay(700*time.Millisecond, 5*time.Second, f.random.Float64())
		}
	}
}

// clearFaults ends all starvation, congestion, message loss and partitions.
func (f *fleet) clearFaults() {
	f.loss, f.cut = 0, nil
	for _, n := range f.nodes {
		n.maxTickDelay = 0
		n.linkDelay = func() time.Duration { return 0 }
	}
}

// isDeclaredDead reports whether all running registries list a member as dead.
func (f *fleet) isDeclaredDead(id ids.DaemonID) bool {
	for _, n := range f.nodes {
		if n.list.Self.Role != Registry || n.down {
			continue
		}
		if m, ok := n.list.Get(id); !ok || !m.Dead {
			return false
		}
	}
	return true
}

// areDeclaredDead reports whether all running registries list all of these members as dead.
func (f *fleet) areDeclaredDead(members []ids.DaemonID) bool {
	for _, id := range members {
		if !f.isDeclaredDead(id) {
			return false
		}
	}
	return true
}
