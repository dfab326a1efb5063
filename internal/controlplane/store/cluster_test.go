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
	// clientAddress is the sender of the tests' own requests.
	clientAddress = ids.Address("10.0.0.99:1")
	// opPut is an operation of the tests that sets a register to the argument.
	opPut consensus.Op = 250
	// tickInterval is the tick interval of the daemons.
	tickInterval = 20 * time.Millisecond
)

var seedAddresses = []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

// testDisk is the disk of one store, with the store's ID and the number of its runs.
type testDisk struct {
	memorydisk.Disk
	storeID, runNumber uint64
}

// message is a message in flight.
type message struct {
	from, to ids.Address
	msg      any
}

// cluster is a few stores on an in-memory network, which delivers all messages in order
// unless isDropped loses them.
type cluster struct {
	now    ids.Time
	stores map[ids.Address]*Store
	disks  map[ids.Address]*testDisk
	queue  []message
	// nextID is the last ID given to a disk or request.
	nextID uint64
	// isDropped, if set, reports which messages are lost.
	isDropped func(from, to ids.Address) bool
	logged    []event.LogEntry
	// mayStopAt is when each store emitted MayStop.
	mayStopAt map[ids.Address]ids.Time
	// retired holds the stores that emitted Retire.
	retired map[ids.Address]bool
	// messagesBeforeFault, if above 0, counts down the messages; fault is called before
	// the one that brings it to 0 is delivered.
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

// start starts a store with the disk of its address, creating an empty disk if there is none.
func (c *cluster) start(address ids.Address, seeds []ids.Address, bootstrap bool) {
	disk := c.disks[address]
	if disk == nil {
		c.nextID++
		disk = &testDisk{storeID: c.nextID, Disk: memorydisk.Disk{}}
		c.disks[address] = disk
	}
	disk.runNumber++
	self := membership.Member{ID: ids.DaemonID(address), Role: membership.Store, Address: address, Zone: "zone", RunID: ids.RunID(disk.runNumber), Incarnation: ids.Incarnation(c.now)}
	s := New(Options{
		Options: membership.Options{Self: self, Seeds: seeds}, Replicas: 3, StoreID: disk.storeID, RunNumber: disk.runNumber, Storage: disk,
		Random: rand.New(rand.NewPCG(disk.storeID, disk.runNumber)), Bootstrap: bootstrap,
	})
	ops := Ops()
	ops[opPut] = func(_ ids.RegisterKey, _, argument []byte) ([]byte, []byte) { return argument, argument }
	s.ReplaceOps(ops)
	c.stores[address] = s
}

// startSeeds starts all seeds.
func (c *cluster) startSeeds(bootstrap bool) {
	for _, address := range seedAddresses {
		c.start(address, seedAddresses, bootstrap)
	}
}

// stop ends a store's process and keeps its disk.
func (c *cluster) stop(address ids.Address) { delete(c.stores, address) }

// wipe ends a store's process and deletes its disk.
func (c *cluster) wipe(address ids.Address) {
	c.stop(address)
	delete(c.disks, address)
}

// step passes an event to a store and executes the resulting commands.
func (c *cluster) step(address ids.Address, ev event.Event) {
	c.perform(address, c.stores[address].Step(c.now, ev))
}

// perform executes a store's commands. A sync completes immediately.
func (c *cluster) perform(address ids.Address, commands []event.Command) {
	for _, command := range commands {
		switch x := command.(type) {
		case event.Send:
			c.queue = append(c.queue, message{address, x.To, x.Message})
		case event.Sync:
			c.disks[address].Write(x.Records)
			c.perform(address, x.After)
			if c.stores[address] == nil {
				return
			}
			c.step(address, event.Synced{Batch: x.Batch})
		case MayStop:
			c.mayStopAt[address] = c.now
		case Retire:
			c.retired[address] = true
		case event.LogEntry:
			c.logged = append(c.logged, x)
		}
	}
}

// run advances the time by d, ticking every store and delivering all messages.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(tickInterval) {
		for _, address := range slices.Sorted(maps.Keys(c.stores)) {
			if c.stores[address] != nil {
				c.step(address, event.Tick{})
			}
		}
		c.deliverAll()
	}
}

// deliverAll delivers the queued messages, and those sent in response.
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

// bootstrapCount returns how often an initial voter set was formed.
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
func (c *cluster) voterSet(address ids.Address) consensus.VoterSet {
	return c.stores[address].Acceptor.VoterSet()
}

// canVote reports whether a store is running, may vote and has a complete disk.
func (c *cluster) canVote(address ids.Address) bool {
	s := c.stores[address]
	return s != nil && s.MayVote() && s.DiskState() == consensus.Complete
}
