package configuration_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// cluster is three stores that keep the configuration, and two registries' clients, in
// virtual time on a network that delays, loses and doubles messages.
type cluster struct {
	now       ids.Time
	random    *rand.Rand
	queue     eventQueue
	scheduled uint64
	stores    []*storeNode
	clients   []*clientNode
	// oneWay is how long a message takes, and spread what chance adds.
	oneWay, jitter          time.Duration
	lossRate, duplicateRate float64
	// partitioned tells which pairs can't reach each other.
	partitioned map[[2]ids.Address]bool
	prepares    int
}

// scheduledEvent is something that happens later.
type scheduledEvent struct {
	at       ids.Time
	sequence uint64
	run      func()
}

type eventQueue []scheduledEvent

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(scheduledEvent)) }
func (t *eventQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// storeNode is one store's acceptor and proposer.
type storeNode struct {
	event.Outbox
	address ids.Address
	id      uint64
	disk    memoryDisk
	run     uint64
	up      bool
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
	diskDelay = 2 * time.Millisecond
	tickEvery = 5 * time.Millisecond
)

func newCluster(seed uint64, oneWay, spread time.Duration) *cluster {
	c := &cluster{now: 1, random: rand.New(rand.NewPCG(seed, 1)), oneWay: oneWay, jitter: spread, partitioned: map[[2]ids.Address]bool{}}
	voters := consensus.VoterSet{Number: 1}
	for i := range 3 {
		s := &storeNode{address: ids.Address(fmt.Sprint("store", i)), id: uint64(i + 1), disk: memoryDisk{}}
		voters.Voters = append(voters.Voters, consensus.Voter{ID: s.id, Address: s.address})
		c.stores = append(c.stores, s)
	}
	for _, s := range c.stores {
		c.start(s)
		s.MarkComplete()
		s.AdoptVoterSet(voters)
		c.processCommands(s)
	}
	for i := range 2 {
		n := &clientNode{address: ids.Address(fmt.Sprint("registry", i))}
		n.Client = consensus.NewClient(ids.RunID(i+1), &n.Outbox)
		// Each goes to another store first, so that two propose at once.
		n.StoreOrder = func(ids.RegisterKey) []ids.Address {
			return []ids.Address{c.stores[i].address, c.stores[(i+1)%3].address, c.stores[(i+2)%3].address}
		}
		c.clients = append(c.clients, n)
	}
	c.schedule(tickEvery, c.tick)
	return c
}

// start begins a store's process on what its disk holds.
func (c *cluster) start(s *storeNode) {
	s.run++
	s.up = true
	s.Outbox = event.Outbox{}
	s.Acceptor = consensus.NewAcceptor(s.id, s.disk, &s.Outbox)
	random := rand.New(rand.NewPCG(c.random.Uint64(), s.id))
	s.Proposer = consensus.NewProposer(s.id<<24|s.run, s.Acceptor.VoterSet, configuration.Ops(), random, &s.Outbox)
}

// crash ends a store's process, and starts it anew later.
func (c *cluster) crash(s *storeNode, down time.Duration) {
	if s.up {
		s.up = false
		c.schedule(down, func() { c.start(s) })
	}
}

func (c *cluster) schedule(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.queue, scheduledEvent{c.now.Add(d), c.scheduled, do})
}

// run lets virtual time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); len(c.queue) > 0 && c.queue[0].at <= end; {
		m := heap.Pop(&c.queue).(scheduledEvent)
		c.now = m.at
		m.run()
	}
}

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
	c.schedule(tickEvery, c.tick)
}

func (c *cluster) processCommands(s *storeNode) { c.execute(s, s.Drain()) }

// execute does a store's commands; what waits for the disk is lost in a crash.
func (c *cluster) execute(s *storeNode, list []event.Command) {
	run := s.run
	for _, command := range list {
		sync, ok := command.(event.Sync)
		if !ok {
			c.send(s.address, []event.Command{command})
			continue
		}
		c.schedule(diskDelay, func() {
			if !s.up || s.run != run {
				return
			}
			s.disk.write(sync.Records)
			s.Acceptor.Synced(sync.Batch)
			c.execute(s, sync.After)
			c.processCommands(s)
		})
	}
}

func (c *cluster) send(from ids.Address, list []event.Command) {
	for _, command := range list {
		m, ok := command.(event.Send)
		if !ok {
			continue
		}
		if _, ok := m.Msg.(consensus.Prepare); ok {
			c.prepares++
		}
		copies := 1
		if from != m.To && c.random.Float64() < c.duplicateRate {
			copies++
		}
		for range copies {
			c.deliver(from, m)
		}
	}
}

func (c *cluster) deliver(from ids.Address, m event.Send) {
	delay := time.Duration(0)
	if from != m.To {
		if c.partitioned[[2]ids.Address{from, m.To}] || c.random.Float64() < c.lossRate {
			return
		}
		delay = c.oneWay + time.Duration(c.random.Int64N(int64(c.jitter)+1))
	}
	c.schedule(delay, func() {
		for _, s := range c.stores {
			if s.address == m.To && s.up {
				s.handleMessage(c.now, from, m.Msg)
				c.processCommands(s)
			}
		}
		for _, n := range c.clients {
			if r, ok := m.Msg.(consensus.Response); ok && n.address == m.To {
				n.HandleResponse(c.now, from, r)
				c.send(n.address, n.Drain())
			}
		}
	})
}

func (s *storeNode) handleMessage(now ids.Time, from ids.Address, msg any) {
	switch m := msg.(type) {
	case consensus.Request:
		s.Submit(now, from, m)
	case consensus.Prepare:
		s.HandlePrepare(from, m)
	case consensus.Accept:
		s.HandleAccept(from, m)
	case consensus.AcceptDifference:
		s.HandleAcceptDifference(from, m)
	case consensus.Promise:
		s.HandlePromise(now, m)
	case consensus.Accepted:
		s.HandleAccepted(now, m)
	}
}

// call sends an operation through one registry, and gives its end later.
func (c *cluster) call(registry int, op consensus.Op, arg []byte, done func(consensus.Outcome, []byte)) {
	n := c.clients[registry]
	n.Call(c.now, configuration.Key, op, arg, 3*time.Second, func(_ ids.Time, s consensus.Outcome, out []byte) { done(s, out) })
	c.send(n.address, n.Drain())
}
