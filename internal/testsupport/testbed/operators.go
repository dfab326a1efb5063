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
	// verifyTimeout bounds the retries of a read from one daemon.
	verifyTimeout = 10 * time.Second
	// verifyRetryPause is the pause after a failed read.
	verifyRetryPause = 200 * time.Millisecond
	// burstConcurrency bounds the concurrent changes of a burst.
	burstConcurrency = 32
	// minActionPause plus up to maxActionJitter is the pause between two actions.
	minActionPause  = 200 // ms
	maxActionJitter = 900 // ms
)

// Operators is a group of stand-in operators. They change and read the configuration
// through random daemons, and report each call and its result to the checker.
type Operators struct {
	*Testbed
	generator blueprint.ChangeGenerator
	// mu guards the generator's random numbers.
	mu     sync.Mutex
	lastID atomic.Int64
	// racedVersion is the last known version of blueprint.RacedRoute.
	racedVersion atomic.Uint64
	pending      sync.WaitGroup
}

// NewOperators creates the operators of a testbed.
func NewOperators(tb *Testbed) *Operators {
	return &Operators{Testbed: tb, generator: blueprint.ChangeGenerator{Plan: tb.Plan, Random: rand.New(rand.NewPCG(rand.Uint64(), 1))}}
}

// Run runs random actions until the context is done, and returns when the last has finished.
func (o *Operators) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.pending.Go(o.runRandomAction)
		sleepContext(ctx, time.Duration(minActionPause+rand.IntN(maxActionJitter))*time.Millisecond)
	}
	o.pending.Wait()
}

// newID returns a new change id and the number in it.
func (o *Operators) newID(prefix string) (string, int) {
	n := int(o.lastID.Add(1))
	return fmt.Sprintf("%s-%d", prefix, n), n
}

// generate calls the generator under the lock, for changes that use its random source.
func (o *Operators) generate(change func(blueprint.ChangeGenerator) string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return change(o.generator)
}

// runRandomAction runs one action, chosen at random with weights that sum to 14.
func (o *Operators) runRandomAction() {
	id, n := o.newID("op")
	pair := rand.IntN(blueprint.RoutePairs)
	switch x := rand.IntN(14); {
	case x < 4:
		o.send(o.generator.Put(id, n, pair), true)
	case x < 5:
		o.send(o.generator.Remove(id, pair), true)
	case x < 6:
		o.send(o.generator.ZoneMaximum(id, n), true)
	case x < 8:
		o.send(o.generate(func(g blueprint.ChangeGenerator) string { return g.Reassign(id) }), true)
	case x < 9:
		o.raceChanges(id, n)
	case x < 10:
		o.sendInvalid(o.generator.Invalid(id, n))
	case x < 11:
		o.sendInvalid(o.generator.Stale(id, n))
	default:
		o.readFromRandomDaemon()
	}
}

// readFromRandomDaemon reads the configuration through a random daemon. A failed read is
// ignored.
func (o *Operators) readFromRandomDaemon() {
	p, ok := o.randomProcess()
	if !ok {
		return
	}
	// The read must reflect all changes that were accepted before it began.
	knownBefore := o.Checker.KnownRevision()
	if configuration, err := o.readConfiguration(p); err == nil {
		o.Checker.ConfigurationRead("a read at "+p.Name, configuration, knownBefore)
	}
}

// SendBurst sends count changes, evenly spread over a duration.
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

// raceChanges sends two concurrent changes of one route that expect the same version; at
// most one may succeed.
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
		o.Checker.Violation("both concurrent changes of %s were accepted", id)
	}
}

// randomProcess returns a random process that is neither stopped nor replaced; false if
// there is none.
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

// VerifyConfiguration reads the configuration through every daemon, and passes it to the checker,
// which compares it with all accepted changes. A daemon that can't be read from is a
// violation. The phase names the point in the run in violations.
func (o *Operators) VerifyConfiguration(phase string) {
	for _, p := range o.snapshot() {
		if p.Replaced {
			continue
		}
		knownBefore := o.Checker.KnownRevision()
		configuration, err := o.readWithRetries(p)
		if err != nil {
			o.Checker.Violation("%s: reading the configuration through %s failed: %v", phase, p.Name, err)
			continue
		}
		o.Checker.ConfigurationRead(phase+", "+p.Name, configuration, knownBefore)
	}
}

// readWithRetries reads through one daemon until it responds, or verifyTimeout has passed.
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
