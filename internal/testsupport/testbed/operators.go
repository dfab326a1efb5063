package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// Operators are stand-in operators and their automation, at work through any
// daemon. All that they send and hear goes into the witness's books.
type Operators struct {
	*Testbed
	generator    blueprint.ChangeGenerator
	mu           sync.Mutex
	lastID       atomic.Int64
	racedVersion atomic.Uint64
	pending      sync.WaitGroup
}

// NewOperators makes operators for a stage.
func NewOperators(s *Testbed) *Operators {
	return &Operators{Testbed: s, generator: blueprint.ChangeGenerator{Plan: s.Plan, Random: rand.New(rand.NewPCG(rand.Uint64(), 1))}}
}

// Run works until the context ends, and waits for what is under way.
func (o *Operators) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.pending.Go(func() { o.act() })
		sleepContext(ctx, time.Duration(200+rand.IntN(900))*time.Millisecond)
	}
	o.pending.Wait()
}

// newID names a change as no other.
func (o *Operators) newID(what string) (string, int) {
	n := int(o.lastID.Add(1))
	return fmt.Sprintf("%s-%d", what, n), n
}

// generate gives the words of a change; the random are shared.
func (o *Operators) generate(f func(blueprint.ChangeGenerator) string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f(o.generator)
}

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
		o.send(o.generate(func(w blueprint.ChangeGenerator) string { return w.Flip(id) }), true)
	case x < 9:
		o.raceChanges(id, n)
	case x < 10:
		o.sendInvalid(o.generator.Invalid(id, n))
	case x < 11:
		o.sendInvalid(o.generator.Stale(id, n))
	default:
		if at, ok := o.randomProcess(); ok {
			floor := o.Checker.KnownRevision()
			if p, err := o.readConfiguration(at); err == nil {
				o.Checker.ConfigurationRead("a read at "+at.Name, p, floor)
			}
		}
	}
}

// SendBurst sends so many changes within a span, several at a time.
func (o *Operators) SendBurst(ctx context.Context, count int, d time.Duration) {
	var all sync.WaitGroup
	slots := make(chan struct{}, 32)
	for range count {
		slots <- struct{}{}
		all.Go(func() {
			id, n := o.newID("storm")
			o.send(o.generator.Put(id, n, rand.IntN(blueprint.RoutePairs)), true)
			<-slots
		})
		sleepContext(ctx, d/time.Duration(count))
	}
	all.Wait()
}

// raceChanges lets two operators change one route by the same version of it.
func (o *Operators) raceChanges(id string, n int) {
	version := ids.Revision(o.racedVersion.Load())
	won := atomic.Int64{}
	var both sync.WaitGroup
	for _, who := range []string{"a", "b"} {
		both.Go(func() {
			if rev := o.send(o.generator.Race(id+who, n, version), true); rev > 0 {
				won.Add(1)
				o.racedVersion.Store(max(o.racedVersion.Load(), rev))
			}
		})
	}
	both.Wait()
	if won.Load() > 1 {
		o.Checker.Violation("both sides of %s were accepted", id)
	}
}

// randomProcess draws a process that should be running.
func (o *Operators) randomProcess() (*Process, bool) {
	var up []*Process
	for _, p := range o.snapshot() {
		if !p.Stopped && !p.Replaced {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil, false
	}
	return up[rand.IntN(len(up))], true
}

// operatorAddress is where operators call from: no zone's clients stand there.
func operatorAddress() string { return fmt.Sprintf("127.%d.8.1", loopbackBlock) }

// resendTimeout bounds how long a change is sent again under its id.
const resendTimeout = 40 * time.Second

// send sends a change, through one daemon after another, until its end is
// known; it gives the revision, or zero for a change that was rejected. One that
// may give up does so where a daemon says that it was surely not accepted.
func (o *Operators) send(raw string, mayGiveUp bool) uint64 {
	id := o.Checker.ChangeSent([]byte(raw), time.Now())
	surelyNotAccepted := true
	for until := time.Now().Add(resendTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		p, ok := o.randomProcess()
		if !ok {
			continue
		}
		res, err := clientFrom(operatorAddress(), 4*time.Second).Post("http://"+p.HTTP+"/v1/change", "application/json", strings.NewReader(raw))
		if err != nil {
			surelyNotAccepted = false
			continue
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil {
			surelyNotAccepted = false
			continue
		}
		var r struct {
			Revision uint64 `json:"revision"`
		}
		switch err := json.Unmarshal(body, &r); {
		case res.StatusCode == http.StatusOK && err == nil:
			o.Checker.ChangeAccepted(id, r.Revision, time.Now())
			return r.Revision
		case res.StatusCode == http.StatusBadRequest:
			o.Checker.Violation("%s was declined by %s: %s", id, p.Name, body)
			o.Checker.ChangeRejected(id)
			return 0
		case res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusConflict:
			o.Checker.ChangeRejected(id)
			return 0
		case res.StatusCode == http.StatusServiceUnavailable:
			// Surely not accepted: some operators leave it at that, and then it
			// may never show.
			if surelyNotAccepted && mayGiveUp && rand.IntN(3) == 0 {
				o.Checker.ChangeRejected(id)
				return 0
			}
		default:
			surelyNotAccepted = false
		}
	}
	return 0
}

// sendInvalid sends a change that no daemon may accept.
func (o *Operators) sendInvalid(raw string) {
	id := o.Checker.ChangeSent([]byte(raw), time.Now())
	o.Checker.ChangeRejected(id)
	if p, ok := o.randomProcess(); ok {
		res, err := clientFrom(operatorAddress(), 4*time.Second).Post("http://"+p.HTTP+"/v1/change", "application/json", strings.NewReader(raw))
		if err != nil {
			return
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			o.Checker.Violation("%s was accepted by %s", id, p.Name)
		}
	}
}

// readConfiguration reads the configuration through one daemon.
func (o *Operators) readConfiguration(p *Process) (checker.Configuration, error) {
	res, err := clientFrom(operatorAddress(), 4*time.Second).Get("http://" + p.HTTP + "/v1/policy")
	if err != nil {
		return checker.Configuration{}, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errs.New("read policy", p.Name, "status %d", res.StatusCode)
	}
	if err != nil {
		return checker.Configuration{}, err
	}
	return checker.ReadConfiguration(raw)
}

// VerifyLedger reads everything back through every daemon at the day's end.
func (o *Operators) VerifyLedger(when string) {
	for _, p := range o.snapshot() {
		if p.Replaced {
			continue
		}
		floor := o.Checker.KnownRevision()
		var seen checker.Configuration
		var err error
		for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			if seen, err = o.readConfiguration(p); err == nil {
				break
			}
		}
		if err != nil {
			o.Checker.Violation("%s: the policy can't be read through %s: %v", when, p.Name, err)
			continue
		}
		o.Checker.ConfigurationRead(when+", "+p.Name, seen, floor)
	}
}
