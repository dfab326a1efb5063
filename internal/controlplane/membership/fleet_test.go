package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// fleet is a hundred members in nine zones, each with a clock and a link of its
// own, in virtual time.
type fleet struct {
	now       ids.Time
	random    *rand.Rand
	queue     []delivery
	nodes     []*node
	byAddress map[ids.Address]*node
	// cut, if set, tells which messages can't pass.
	cut func(from, to ids.Address) bool
	// loss is the share of messages that never arrive.
	loss float64
	// declarations are those that registries passed, by member.
	declarations map[string]int
}

type delivery struct {
	at       ids.Time
	from, to ids.Address
	msg      any
}

type node struct {
	list *List
	out  *event.Outbox
	down bool
	// nextTick is when it turns next: a starved process turns late, and reads all
	// that arrived meanwhile only then.
	nextTick     ids.Time
	maxTickDelay time.Duration
	// linkDelay is how long messages wait for its link, on top of the distance.
	linkDelay func() time.Duration
	received  []delivery
}

const (
	fleetTick  = 50 * time.Millisecond
	fleetZones = 9
)

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

func (f *fleet) add(role Role, i int) {
	at := ids.Address(fmt.Sprintf("machine-%d-%s", i, role))
	n := &node{out: &event.Outbox{}, linkDelay: func() time.Duration { return 0 }, nextTick: ids.Time(f.random.Int64N(int64(fleetTick))) + 1}
	self := Member{ID: ids.DaemonID(at), Role: role, Address: at, Zone: ids.Name(fmt.Sprintf("z%d", i%fleetZones)), RunID: 1, Incarnation: 1, Ready: true}
	n.list = New(Options{Self: self, Seeds: []ids.Address{"machine-0-registry", "machine-1-registry", "machine-2-registry"}, Incremental: true}, n.out)
	f.nodes = append(f.nodes, n)
	f.byAddress[at] = n
}

// advance lets time go by.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
		slices.SortStableFunc(f.queue, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			message := f.queue[0]
			f.queue = f.queue[1:]
			if n := f.byAddress[message.to]; !n.down {
				n.received = append(n.received, message)
			}
		}
		for _, n := range f.nodes {
			f.stepNode(n)
		}
	}
}

// stepNode lets a node read what arrived, and step its clock if it is time.
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

// relay hands on what changed, as registries do.
func (f *fleet) relay(n *node) {
	if n.list.Self.Role != Registry {
		return
	}
	if changed := n.list.DrainChanged(); len(changed) > 0 {
		for _, m := range n.list.All() {
			if !m.Gone && m.ID != n.list.Self.ID {
				n.out.Send(m.Address, Delta{Members: changed, Final: true})
			}
		}
	}
}

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
			f.queue = append(f.queue, delivery{f.now.Add(wait), n.list.Self.Address, c.To, c.Msg})
		}
	}
}
