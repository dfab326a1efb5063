package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// World is one simulated run: its processes, targets, clients and operators, the network between
// them, and virtual time. It is not safe for concurrent use. All random numbers come from one
// seeded source, so that the seed and the options determine the run.
type World struct {
	Options
	now              ids.Time
	nextSequence     uint64
	eventQueue       eventQueue
	random           *rand.Rand
	processes        []*process
	processByAddress map[ids.Address]*process
	targets          []*target
	targetByAddress  map[ids.Address]*target
	partitions       []*partition
	Checker          *checker.Checker
	Log              []string
	network          networkConditions
	operators        operatorState
	history          history
	clients          clientState
	traceHash        uint64
	Events           uint64
	recoveredAt      ids.Time
	// allNumberAttempts makes every client send its attempt number. For a while after idempotency
	// records were lost, requests without one are answered "may have run".
	allNumberAttempts bool
	// pruned counts the idempotency records that disks deleted when their retention ended.
	pruned int
	// onClaim, if set, is called whenever a proxy claims an idempotency key.
	onClaim func(p *process)
	// onNextAck and onNextChange, if set, are called once: when the next change is acknowledged and
	// when the next change is sent.
	onNextAck    func(p *process)
	onNextChange func()
	// operatorResponseLoss is the share of responses to operators that are lost.
	operatorResponseLoss float64
	connections          connections
	losses               coreLosses
	// faultCounts counts the random faults by kind.
	faultCounts map[string]int
}

// NewWorld returns an empty world with the given options.
func NewWorld(p Options) *World {
	p.fill()
	return &World{
		Options: p, random: rand.New(rand.NewPCG(p.Seed, 0x64756e6c696e)), processByAddress: map[ids.Address]*process{},
		targetByAddress: map[ids.Address]*target{}, Checker: &checker.Checker{}, network: networkConditions{jitter: time.Millisecond},
		connections: connections{resets: map[endpoints]int{}}, faultCounts: map[string]int{}, operators: operatorState{confirmed: map[string]bool{}},
	}
}

// wallTime returns the virtual time as a time.Time, which the checker expects.
func (w *World) wallTime() time.Time { return timeOf(w.now) }

// timeOf converts a virtual time to a time.Time.
func timeOf(t ids.Time) time.Time { return time.Unix(0, int64(t)) }

// trace adds a line to the log of the run and to the hash over all lines. Tests compare the hashes
// of two runs of the same seed.
func (w *World) trace(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", float64(w.now)/1e9) + fmt.Sprintf(format, args...)
	for i := 0; i < len(line); i++ {
		w.traceHash = (w.traceHash ^ uint64(line[i])) * 1099511628211
	}
	if w.KeepLog {
		w.Log = append(w.Log, line)
	}
}

// randomDuration draws a duration between low and high, both included.
func (w *World) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}
