package store

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/testsupport/memorydisk"
)

const (
	// clientAddress is where responses to the tests' own requests go.
	clientAddress = ids.Address("10.0.0.99:1")
	// opPut is a change function of the tests: the register gets the argument's value.
	opPut consensus.Op = 250
	// tickInterval is that of the daemons.
	tickInterval = 20 * time.Millisecond
)

var seedAddresses = []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

// testDisk is the disk of one store, with its id and how often it was opened.
type testDisk struct {
	memorydisk.Disk
	storeID, runNumber uint64
}

// message is one on its way.
type message struct {
	from, to ids.Address
	msg      any
}

// cluster is a few stores on an in-memory network, which delivers every message in
// order unless it is cut.
type cluster struct {
	now    ids.Time
	stores map[ids.Address]*Store
	disks  map[ids.Address]*testDisk
	queue  []message
	// nextID numbers disks and requests.
	nextID uint64
	// isDropped, if set, reports which messages are lost.
	isDropped func(from, to ids.Address) bool
	logged    []event.LogEntry
	// mayStopAt is when each store emitted MayStop.
	mayStopAt map[ids.Address]ids.Time
	// retired are the stores that emitted Retire.
	retired map[ids.Address]bool
	// messagesBeforeFault, if above 0, is how many messages are delivered before fault
	// is called.
	messagesBeforeFault int
	fault               func()
	responses           []consensus.Response
}

func newCluster() *cluster {
	return &cluster{
		now:    ids.Time(time.Second),
		stores: map[ids.Address]*Store{}, disks: map[ids.Address]*testDisk{},
		mayStopAt: map[ids.Address]ids.Time{}, retired: map[ids.Address]bool{},
	}
}

// start starts a store on the disk of its address, which is blank at first.
func (c *cluster) start(at ids.Address, seeds []ids.Address, bootstrap bool) {
	disk := c.disks[at]
	if disk == nil {
		c.nextID++
		disk = &testDisk{storeID: c.nextID, Disk: memorydisk.Disk{}}
		c.disks[at] = disk
	}
	disk.runNumber++
	self := membership.Member{ID: ids.DaemonID(at), Role: membership.Store, Address: at, Zone: "zone", RunID: ids.RunID(disk.runNumber), Incarnation: ids.Incarnation(c.now)}
	s := New(Options{
		Options: membership.Options{Self: self, Seeds: seeds}, Replicas: 3, StoreID: disk.storeID, RunNumber: disk.runNumber, Storage: disk,
		Random: rand.New(rand.NewPCG(disk.storeID, disk.runNumber)), Bootstrap: bootstrap,
	})
	ops := Ops()
	ops[opPut] = func(_ ids.RegisterKey, _, argument []byte) ([]byte, []byte) { return argument, argument }
	s.ReplaceOps(ops)
	c.stores[at] = s
}

// startSeeds starts all seeds.
func (c *cluster) startSeeds(bootstrap bool) {
	for _, address := range seedAddresses {
		c.start(address, seedAddresses, bootstrap)
	}
}

// stop ends a store's process and leaves its disk.
func (c *cluster) stop(at ids.Address) { delete(c.stores, at) }

// wipe ends a store's process and loses its disk.
func (c *cluster) wipe(at ids.Address) {
	c.stop(at)
	delete(c.disks, at)
}

// step lets a store handle an event.
func (c *cluster) step(at ids.Address, ev event.Event) {
	c.perform(at, c.stores[at].Step(c.now, ev))
}

// perform carries out a store's commands. A sync is done at once.
func (c *cluster) perform(at ids.Address, commands []event.Command) {
	for _, command := range commands {
		switch x := command.(type) {
		case event.Send:
			c.queue = append(c.queue, message{at, x.To, x.Message})
		case event.Sync:
			c.disks[at].Write(x.Records)
			c.perform(at, x.After)
			if c.stores[at] == nil {
				return
			}
			c.step(at, event.Synced{Batch: x.Batch})
		case MayStop:
			c.mayStopAt[at] = c.now
		case Retire:
			c.retired[at] = true
		case event.LogEntry:
			c.logged = append(c.logged, x)
		}
	}
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(tickInterval) {
		for _, at := range slices.Sorted(maps.Keys(c.stores)) {
			if c.stores[at] != nil {
				c.step(at, event.Tick{})
			}
		}
		c.deliverAll()
	}
}

// deliverAll delivers the messages on their way, and those that follow from them.
func (c *cluster) deliverAll() {
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
		if c.stores[m.to] != nil && (c.isDropped == nil || !c.isDropped(m.from, m.to)) {
			c.step(m.to, event.Received{From: m.from, Message: m.msg})
		}
	}
}

// bootstrapCount counts how often a first voter set was formed.
func (c *cluster) bootstrapCount() int {
	n := 0
	for _, entry := range c.logged {
		if entry.Event == logBootstrapCompleted || entry.Event == logTotalLossRecovered {
			n++
		}
	}
	return n
}

// voterSet returns the voter set in force at a store.
func (c *cluster) voterSet(at ids.Address) consensus.VoterSet {
	return c.stores[at].Acceptor.VoterSet()
}

// canVote reports whether a store runs, has a vote and may use it.
func (c *cluster) canVote(at ids.Address) bool {
	s := c.stores[at]
	return s != nil && s.MayVote() && s.DiskState() == consensus.Complete
}
