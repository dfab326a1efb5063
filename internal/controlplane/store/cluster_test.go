package store

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// testDisk keeps records; a sync is done as soon as it is asked for.
type testDisk struct {
	id, run uint64
	records map[ids.RegisterKey][]byte
}

func (d *testDisk) Get(key ids.RegisterKey) ([]byte, bool) {
	raw, ok := d.records[key]
	return raw, ok
}

func (d *testDisk) Scan(after ids.RegisterKey, n int) []event.Record {
	var out []event.Record
	for _, k := range slices.Sorted(maps.Keys(d.records)) {
		if k > after && strings.HasPrefix(string(k), "item/") && len(out) < n {
			out = append(out, event.Record{Key: k, Value: d.records[k]})
		}
	}
	return out
}

// opPut is a change that the tests make: the register becomes what is given.
const opPut consensus.Op = 250

type message struct {
	from, to ids.Address
	msg      any
}

// cluster is a few stores with a network that loses nothing but across a cut.
type cluster struct {
	now    ids.Time
	stores map[ids.Address]*Store
	disks  map[ids.Address]*testDisk
	queue  []message
	nextID uint64
	isCut  func(from, to ids.Address) bool
	logged []event.LogEntry
	// mayStopAt are the stores that said that they may stop, and when.
	mayStopAt map[ids.Address]ids.Time
	// budget, if above 0, is how many messages pass before onBudget is called.
	messagesBeforeFault int
	fault               func()
	responses           []consensus.Response
}

var seedAddresses = []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func newCluster() *cluster {
	return &cluster{now: ids.Time(time.Second), mayStopAt: map[ids.Address]ids.Time{}, stores: map[ids.Address]*Store{}, disks: map[ids.Address]*testDisk{}}
}

// start starts a store on the disk of its address, which is blank at first.
func (c *cluster) start(at ids.Address, seeds []ids.Address, bootstrap bool) {
	d := c.disks[at]
	if d == nil {
		c.nextID++
		d = &testDisk{id: c.nextID, records: map[ids.RegisterKey][]byte{}}
		c.disks[at] = d
	}
	d.run++
	self := membership.Member{ID: ids.DaemonID(at), Role: membership.Store, Address: at, Zone: "zone", RunID: ids.RunID(d.run), Incarnation: ids.Incarnation(c.now)}
	s := New(Options{
		Options: membership.Options{Self: self, Seeds: seeds}, Replicas: 3, StoreID: d.id, RunNumber: d.run, Storage: d,
		Random: rand.New(rand.NewPCG(d.id, d.run)), Bootstrap: bootstrap,
	})
	ops := Ops()
	ops[opPut] = func(_ ids.RegisterKey, _, arg []byte) ([]byte, []byte) { return arg, arg }
	s.ReplaceOps(ops)
	c.stores[at] = s
}

func (c *cluster) stop(at ids.Address) { delete(c.stores, at) }

// wipe loses the disk too.
func (c *cluster) wipe(at ids.Address) {
	c.stop(at)
	delete(c.disks, at)
}

func (c *cluster) perform(at ids.Address, commands []event.Command) {
	for _, command := range commands {
		switch x := command.(type) {
		case event.Send:
			c.queue = append(c.queue, message{at, x.To, x.Msg})
		case event.Sync:
			for _, r := range x.Records {
				c.disks[at].records[r.Key] = r.Value
			}
			c.perform(at, x.After)
			if c.stores[at] == nil {
				return
			}
			c.perform(at, c.stores[at].Step(c.now, event.Synced{Batch: x.Batch}))
		case MayStop:
			c.mayStopAt[at] = c.now
		case event.LogEntry:
			c.logged = append(c.logged, x)
		}
	}
}

// client is where answers to the tests' own requests go.
const clientAddress = ids.Address("10.0.0.99:1")

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(20 * time.Millisecond) {
		for _, at := range slices.Sorted(maps.Keys(c.stores)) {
			if c.stores[at] == nil {
				continue
			}
			c.perform(at, c.stores[at].Step(c.now, event.Tick{}))
		}
		for len(c.queue) > 0 {
			m := c.queue[0]
			c.queue = c.queue[1:]
			if m.to == clientAddress {
				if r, ok := m.msg.(consensus.Response); ok {
					c.responses = append(c.responses, r)
				}
				continue
			}
			if c.messagesBeforeFault--; c.messagesBeforeFault == 0 {
				c.fault()
			}
			if s := c.stores[m.to]; s != nil && (c.isCut == nil || !c.isCut(m.from, m.to)) {
				c.perform(m.to, s.Step(c.now, event.Received{From: m.from, Msg: m.msg}))
			}
		}
	}
}

// bootstrapCount counts how often a voter set was founded.
func (c *cluster) bootstrapCount() int {
	n := 0
	for _, l := range c.logged {
		if l.Event == eventBootstrapCompleted || l.Event == eventTotalLossRecovered {
			n++
		}
	}
	return n
}

// voterSet gives the voter set in force at a store.
func (c *cluster) voterSet(at ids.Address) consensus.VoterSet {
	return c.stores[at].Acceptor.VoterSet()
}

func (c *cluster) startAll(bootstrap bool) {
	for _, a := range seedAddresses {
		c.start(a, seedAddresses, bootstrap)
	}
}
