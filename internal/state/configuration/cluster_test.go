package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/testsupport/memorydisk"
)

// cluster simulates three stores that hold the configuration, and the clients of two
// registries, in virtual time. It is deterministic for a seed.
type cluster struct {
	network
	now       ids.Time
	random    *rand.Rand
	queue     eventQueue
	scheduled uint64
	stores    []*storeNode
	clients   []*clientNode
}

// storeNode is one store's acceptor and proposer.
type storeNode struct {
	event.Outbox
	address ids.Address
	id      uint64
	disk    memorydisk.Disk
	// run is the number of times that the process was started.
	run uint64
	up  bool
	*consensus.Acceptor
	*consensus.Proposer
}

// clientNode is one registry's client.
type clientNode struct {
	event.Outbox
	address ids.Address
	*consensus.Client
}

const (
	diskDelay    = 2 * time.Millisecond
	tickInterval = 5 * time.Millisecond
	callTimeout  = 3 * time.Second
)

func newCluster(seed uint64, oneWay, jitter time.Duration) *cluster {
	c := &cluster{
		network: network{oneWay: oneWay, jitter: jitter, partitioned: map[[2]ids.Address]bool{}},
		now:     1,
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
	c.startStores()
	for i := range 2 {
		n := &clientNode{address: ids.Address(fmt.Sprint("registry", i))}
		n.Client = consensus.NewClient(ids.RunID(i+1), &n.Outbox)
		// Each client prefers another store, so that two proposers compete.
		n.StoreOrder = func(ids.RegisterKey) []ids.Address {
			return []ids.Address{c.stores[i].address, c.stores[(i+1)%3].address, c.stores[(i+2)%3].address}
		}
		c.clients = append(c.clients, n)
	}
	c.schedule(tickInterval, c.tick)
	return c
}

// startStores starts three stores with empty disks as one voter set.
func (c *cluster) startStores() {
	voters := consensus.VoterSet{Number: 1}
	for i := range 3 {
		s := &storeNode{address: ids.Address(fmt.Sprint("store", i)), id: uint64(i + 1), disk: memorydisk.Disk{}}
		voters.Voters = append(voters.Voters, consensus.Voter{ID: s.id, Address: s.address})
		c.stores = append(c.stores, s)
	}
	for _, s := range c.stores {
		c.start(s)
		s.MarkComplete()
		s.AdoptVoterSet(voters)
		c.processCommands(s)
	}
}

// start starts a store's process from the contents of its disk.
func (c *cluster) start(s *storeNode) {
	s.run++
	s.up = true
	s.Outbox = event.Outbox{}
	s.Acceptor = consensus.NewAcceptor(s.id, s.disk, &s.Outbox)
	random := rand.New(rand.NewPCG(c.random.Uint64(), s.id))
	s.Proposer = consensus.NewProposer(s.id<<24|s.run, s.Acceptor.VoterSet, configuration.Ops(), random, &s.Outbox)
}

// crash stops a store's process and restarts it after the downtime.
func (c *cluster) crash(s *storeNode, downtime time.Duration) {
	if s.up {
		s.up = false
		c.schedule(downtime, func() { c.start(s) })
	}
}

// tick passes the time to every member that is up, and schedules the next tick.
func (c *cluster) tick() {
	for _, s := range c.stores {
		if s.up {
			s.Proposer.Tick(c.now)
			c.processCommands(s)
		}
	}
	for _, n := range c.clients {
		n.Tick(c.now)
		c.send(n.address, n.Drain())
	}
	c.schedule(tickInterval, c.tick)
}

// processCommands executes the commands that a store has issued since the last call.
func (c *cluster) processCommands(s *storeNode) { c.execute(s, s.Drain()) }

// execute executes commands of a store. A sync completes after diskDelay and is lost in a
// crash, together with the commands that depend on it.
func (c *cluster) execute(s *storeNode, commands []event.Command) {
	run := s.run
	for _, command := range commands {
		sync, ok := command.(event.Sync)
		if !ok {
			c.send(s.address, []event.Command{command})
			continue
		}
		c.schedule(diskDelay, func() {
			if !s.up || s.run != run {
				return
			}
			s.disk.Write(sync.Records)
			s.Acceptor.Synced(sync.Batch)
			c.execute(s, sync.After)
			c.processCommands(s)
		})
	}
}

// handleMessage passes a message to the store's acceptor or proposer.
func (s *storeNode) handleMessage(now ids.Time, from ids.Address, msg any) {
	switch m := msg.(type) {
	case consensus.Request:
		s.Submit(now, from, m)
	case consensus.Prepare:
		s.HandlePrepare(from, m)
	case consensus.Accept:
		s.HandleAccept(from, m)
	case consensus.AcceptDelta:
		s.HandleAcceptDelta(from, m)
	case consensus.Promise:
		s.HandlePromise(now, m)
	case consensus.Accepted:
		s.HandleAccepted(now, m)
	}
}

// call sends an operation through one registry. done is called with its outcome.
func (c *cluster) call(registry int, op consensus.Op, arg []byte, done func(consensus.Outcome, []byte)) {
	n := c.clients[registry]
	n.Call(c.now, configuration.Key, op, arg, callTimeout, func(_ ids.Time, outcome consensus.Outcome, response []byte) {
		done(outcome, response)
	})
	c.send(n.address, n.Drain())
}
