package simulator

import (
	"container/heap"
	"time"

	"dunlinwell/internal/base/ids"
)

// scheduledEvent is a function to run at a virtual time. Events with the same time run in the order
// in which they were scheduled.
type scheduledEvent struct {
	at       ids.Time
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface, ordered by time and sequence.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// schedule runs a function after a delay of virtual time.
func (w *World) schedule(delay time.Duration, run func()) {
	w.nextSequence++
	heap.Push(&w.eventQueue, scheduledEvent{w.now.Add(max(delay, 0)), w.nextSequence, run})
}

// runUntil runs all events up to and including end and sets the virtual time to end.
func (w *World) runUntil(end ids.Time) {
	for len(w.eventQueue) > 0 && w.eventQueue[0].at <= end {
		next := heap.Pop(&w.eventQueue).(scheduledEvent)
		w.now = next.at
		w.Events++
		next.run()
	}
	w.now = end
}

// repeat schedules n calls of f: the first after from, the others every gap. Each gets its index.
func (w *World) repeat(from, gap time.Duration, n int, f func(i int)) {
	for i := range n {
		w.schedule(from+time.Duration(i)*gap, func() { f(i) })
	}
}

// awaitInterval is how often await checks its condition.
const awaitInterval = 10 * time.Millisecond

// await calls then with the time until the condition holds, or with -1 if it doesn't within bound.
func (w *World) await(condition func() bool, bound time.Duration, then func(time.Duration)) {
	began := w.now
	var check func()
	check = func() {
		switch elapsed := w.now.Sub(began); {
		case condition():
			then(elapsed)
		case elapsed >= bound:
			then(-1)
		default:
			w.schedule(awaitInterval, check)
		}
	}
	check()
}
