package configuration_test

import (
	"container/heap"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// network is the simulated network between the members of a cluster.
type network struct {
	// oneWay is the minimum delay of a message, and jitter the maximum random addition.
	oneWay, jitter          time.Duration
	lossRate, duplicateRate float64
	// partitioned holds pairs of sender and receiver whose messages are lost.
	partitioned map[[2]ids.Address]bool
	// prepares counts the prepare messages sent.
	prepares int
}

// send delivers the messages among a member's commands and duplicates some of them.
func (c *cluster) send(from ids.Address, commands []event.Command) {
	for _, command := range commands {
		message, ok := command.(event.Send)
		if !ok {
			continue
		}
		if _, ok := message.Message.(consensus.Prepare); ok {
			c.prepares++
		}
		copies := 1
		if from != message.To && c.random.Float64() < c.duplicateRate {
			copies++
		}
		for range copies {
			c.deliver(from, message)
		}
	}
}

// deliver schedules the arrival of a message unless it is lost. Messages from a member to
// itself aren't delayed.
func (c *cluster) deliver(from ids.Address, message event.Send) {
	delay := time.Duration(0)
	if from != message.To {
		if c.partitioned[[2]ids.Address{from, message.To}] || c.random.Float64() < c.lossRate {
			return
		}
		delay = c.oneWay + time.Duration(c.random.Int64N(int64(c.jitter)+1))
	}
	c.schedule(delay, func() { c.receive(from, message) })
}

// receive passes a message to its receiver.
func (c *cluster) receive(from ids.Address, message event.Send) {
	for _, s := range c.stores {
		if s.address == message.To && s.up {
			s.handleMessage(c.now, from, message.Message)
			c.processCommands(s)
		}
	}
	for _, n := range c.clients {
		if response, ok := message.Message.(consensus.Response); ok && n.address == message.To {
			n.HandleResponse(c.now, from, response)
			c.send(n.address, n.Drain())
		}
	}
}

// scheduledEvent is a function scheduled at a point in virtual time.
type scheduledEvent struct {
	at       ids.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time. Events with the same time are in the order
// in which they were scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs a function after a delay.
func (c *cluster) schedule(delay time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.queue, scheduledEvent{c.now.Add(delay), c.scheduled, run})
}

// run advances virtual time and runs the events that are due.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); len(c.queue) > 0 && c.queue[0].at <= end; {
		next := heap.Pop(&c.queue).(scheduledEvent)
		c.now = next.at
		next.run()
	}
}
