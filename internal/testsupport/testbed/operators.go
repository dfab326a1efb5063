package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// verifyTimeout is how long a daemon may take to answer a read after faults.
	verifyTimeout = 10 * time.Second
	// verifyRetryPause is the pause between reads that fail.
	verifyRetryPause = 200 * time.Millisecond
	// burstConcurrency bounds the changes of a burst that are under way at once.
	burstConcurrency = 32
	// minActPause and up to maxActJitter more are between two actions.
	minActPause  = 200 // ms
	maxActJitter = 900 // ms
)

// Operators are stand-in operators and their automation. They change and read the
// configuration through any daemon, and report each call and its result to the checker.
type Operators struct {
	*Testbed
	generator blueprint.ChangeGenerator
	// mu guards the generator's random numbers.
	mu     sync.Mutex
	lastID atomic.Int64
	// racedVersion is the last known version of the route that operators race for.
	racedVersion atomic.Uint64
	pending      sync.WaitGroup
}

// NewOperators makes the operators of a testbed.
func NewOperators(tb *Testbed) *Operators {
	return &Operators{Testbed: tb, generator: blueprint.ChangeGenerator{Plan: tb.Plan, Random: rand.New(rand.NewPCG(rand.Uint64(), 1))}}
}

// Run acts at random until the context ends, and returns when the last action has ended.
func (o *Operators) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.pending.Go(o.act)
		sleepContext(ctx, time.Duration(minActPause+rand.IntN(maxActJitter))*time.Millisecond)
	}
	o.pending.Wait()
}

// newID makes the id of a change, and its number.
func (o *Operators) newID(prefix string) (string, int) {
	n := int(o.lastID.Add(1))
	return fmt.Sprintf("%s-%d", prefix, n), n
}

// generate calls the generator for a change that takes random numbers.
func (o *Operators) generate(change func(blueprint.ChangeGenerator) string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return change(o.generator)
}

// act does one thing that operators do; the shares are of 14.
func (o *Operators) act() {
	id, n := o.newID("op")
	pair := rand.IntN(blueprint.RoutePairs)
	switch x := rand.IntN(14); {
	case x < 4:
		o.send(o.generator.Put(id, n, pair), true)
	case x < 5:
		o.send(o.generator.Remove(id, pair), true)
	case x < 6:
		o.send(o.generator.TargetLevel(id, n), true)
	case x < 8:
		o.send(o.generate(func(g blueprint.ChangeGenerator) string { return g.Flip(id) }), true)
	case x < 9:
		o.raceChanges(id, n)
	case x < 10:
		o.sendInvalid(o.generator.Invalid(id, n))
	case x < 11:
		o.sendInvalid(o.generator.Stale(id, n))
	default:
		o.readAnywhere()
	}
}

// readAnywhere reads the configuration through any daemon. A read that fails
// shows nothing.
func (o *Operators) readAnywhere() {
	p, ok := o.randomProcess()
	if !ok {
		return
	}
	// What was accepted before the read began must show in it.
	knownBefore := o.Checker.KnownRevision()
	if configuration, err := o.readConfiguration(p); err == nil {
		o.Checker.ConfigurationRead("a read at "+p.Name, configuration, knownBefore)
	}
}

// SendBurst sends so many changes, spread over a duration.
func (o *Operators) SendBurst(ctx context.Context, count int, duration time.Duration) {
	var changes sync.WaitGroup
	slots := make(chan struct{}, burstConcurrency)
	for range count {
		slots <- struct{}{}
		changes.Go(func() {
			id, n := o.newID("storm")
			o.send(o.generator.Put(id, n, rand.IntN(blueprint.RoutePairs)), true)
			<-slots
		})
		sleepContext(ctx, duration/time.Duration(count))
	}
	changes.Wait()
}

// raceChanges lets two operators change one route on condition of the same
// version: at most one may succeed.
func (o *Operators) raceChanges(id string, n int) {
	version := ids.Revision(o.racedVersion.Load())
	var accepted atomic.Int64
	var both sync.WaitGroup
	for _, operator := range []string{"a", "b"} {
		both.Go(func() {
			if revision := o.send(o.generator.Race(id+operator, n, version), true); revision > 0 {
				accepted.Add(1)
				o.racedVersion.Store(max(o.racedVersion.Load(), revision))
			}
		})
	}
	both.Wait()
	if accepted.Load() > 1 {
		o.Checker.Violation("both sides of %s were accepted", id)
	}
}

// randomProcess draws a process that should run; false if there is none.
func (o *Operators) randomProcess() (*Process, bool) {
	var running []*Process
	for _, p := range o.snapshot() {
		if !p.Stopped && !p.Replaced {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return nil, false
	}
	return running[rand.IntN(len(running))], true
}

// VerifyLedger reads the configuration through every daemon, and has the checker
// compare it with all accepted changes. A daemon that can't be read is a
// violation. When says at what point of the run this is.
func (o *Operators) VerifyLedger(when string) {
	for _, p := range o.snapshot() {
		if p.Replaced {
			continue
		}
		knownBefore := o.Checker.KnownRevision()
		configuration, err := o.readWithRetries(p)
		if err != nil {
			o.Checker.Violation("%s: the configuration can't be read through %s: %v", when, p.Name, err)
			continue
		}
		o.Checker.ConfigurationRead(when+", "+p.Name, configuration, knownBefore)
	}
}

// readWithRetries reads through one daemon until it answers, or verifyTimeout is over.
func (o *Operators) readWithRetries(p *Process) (checker.Configuration, error) {
	var configuration checker.Configuration
	var err error
	for deadline := time.Now().Add(verifyTimeout); time.Now().Before(deadline); time.Sleep(verifyRetryPause) {
		if configuration, err = o.readConfiguration(p); err == nil {
			break
		}
	}
	return configuration, err
}
