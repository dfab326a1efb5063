// Package drill is the simulator: the very state machines that the daemons
// run, under a seeded scheduler with virtual time, a net that loses, delays,
// doubles and cuts, disks that lose what was not synced, processes that are
// killed and frozen, and clocks that jump.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// task is something due at a virtual time; ties go by the order of asking.
type task struct {
	at  ids.Time
	seq uint64
	run func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// World is one simulated run.
type World struct {
	Options
	now              ids.Time
	seq              uint64
	agenda           agenda
	random           *rand.Rand
	procs            []*process
	processByAddress map[ids.Address]*process
	targets          []*target
	targetByAddress  map[ids.Address]*target
	cuts             []*cut
	Checker          *checker.Checker
	Log              []string
	network          networkConditions
	operators        operatorState
	history          history
	longLived        longLivedClients
	sum              uint64
	Events           uint64
	recoveredAt      ids.Time
	// counted: every client numbers its attempts. One that doesn't gets
	// "may have run" for a while after marks were lost.
	counted bool
	// pruned counts the marks that disks forgot in time.
	pruned int
	// atClaim, if set, hears of each claim as it is asked for.
	atClaim func(p *process)
	// atAck and atChange, if set, hear of the next change that is confirmed, or
	// sent.
	atAck    func(p *process)
	atChange func()
	// answerLoss is the share of answers to operators that are lost.
	answerLoss  float64
	connections connections
	losses      coreLosses
	// faultCounts counts the faults that came by lot.
	faultCounts map[string]int
}

// networkConditions is how badly the net behaves just now.
type networkConditions struct {
	loss, double float64
	jitter       time.Duration
}

// NewWorld makes an empty world for a seed.
func NewWorld(p Options) *World {
	p.fill()
	return &World{
		Options: p, random: rand.New(rand.NewPCG(p.Seed, 0x64756e6c696e)), processByAddress: map[ids.Address]*process{},
		targetByAddress: map[ids.Address]*target{}, Checker: &checker.Checker{}, network: networkConditions{jitter: time.Millisecond},
		connections: connections{resets: map[endpoints]int{}}, faultCounts: map[string]int{}, operators: operatorState{taken: map[string]bool{}},
	}
}

// later asks for something to be done after a while.
func (w *World) later(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.agenda, task{w.now.Add(max(d, 0)), w.seq, f})
}

// until runs the agenda up to a time.
func (w *World) until(t ids.Time) {
	for len(w.agenda) > 0 && w.agenda[0].at <= t {
		x := heap.Pop(&w.agenda).(task)
		w.now = x.at
		w.Events++
		x.run()
	}
	w.now = t
}

// clock is virtual time as the witness wants it.
func (w *World) clock() time.Time { return clock(w.now) }

func clock(t ids.Time) time.Time { return time.Unix(0, int64(t)) }

// trace keeps a line of what happened, and sums all of them up, so that two
// runs of one seed can be told to be the same.
func (w *World) trace(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", float64(w.now)/1e9) + fmt.Sprintf(format, args...)
	for i := 0; i < len(line); i++ {
		w.sum = (w.sum ^ uint64(line[i])) * 1099511628211
	}
	if w.KeepLog {
		w.Log = append(w.Log, line)
	}
}

// between draws a span.
func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

// far is the time a message takes between two zones.
func (w *World) far(a, b ids.Name) time.Duration {
	base := 200 * time.Microsecond
	switch {
	case a == b:
	case w.Plan.Region(a) == w.Plan.Region(b):
		base = time.Millisecond
	default:
		base = time.Duration(max(w.Plan.LatencyMillis, 2)) * time.Millisecond / 2
	}
	return base + w.between(0, w.network.jitter)
}

// open tells whether a message can pass.
func (w *World) open(fromName string, from ids.Name, toName string, to ids.Name) bool {
	for _, c := range w.cuts {
		if c.crosses(fromName, from, toName, to) {
			return false
		}
	}
	return w.network.loss == 0 || w.random.Float64() >= w.network.loss
}

// send carries a message between daemons.
func (w *World) send(from *process, to ids.Address, msg any) {
	if w.Defect.Message != nil {
		name := ""
		if q := w.processByAddress[to]; q != nil {
			name = q.name
		}
		var pass bool
		if msg, pass = w.Defect.Message(from.name, name, msg); !pass {
			return
		}
	}
	n := 1
	if w.network.double > 0 && w.random.Float64() < w.network.double {
		n = 2
	}
	for range n {
		q := w.processByAddress[to]
		if q == nil {
			return
		}
		if to != from.addr && !w.open(from.name, from.zone, q.name, q.zone) {
			continue
		}
		d := time.Duration(0)
		if to != from.addr {
			d = w.far(from.zone, q.zone) + w.onLink(from, q, msg)
		}
		pair := ends(from.name, q.name)
		resets := w.connections.resets[pair]
		w.later(d, func() {
			// Whoever has the address when it arrives gets it.
			if q := w.processByAddress[to]; q != nil && q.up && w.connections.resets[pair] == resets {
				q.take(event.Received{From: from.addr, Msg: msg})
			}
		})
	}
}
