package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/testsupport/checker"
)

// target is a stand-in target in the simulated world.
type target struct {
	w           *World
	id          ids.InstanceID
	service     ids.Name
	zone        ids.Name
	addr        ids.Address
	capacity    int
	up          bool
	generation  int
	leaving     bool
	left        ids.Time
	born        ids.Time
	incarnation ids.Incarnation
	sequence    ids.Sequence
	busy        int
	// lastAcknowledged is when a registry last took its announcement. While frozen it does
	// nothing, and what comes waits in its sockets.
	lastAcknowledged ids.Time
	frozen           bool
	wait             []func()
	// lastRegistry is the registry that was told last.
	lastRegistry *process
	// silentShare and spoil are shares of answers lost after the work, or broken.
	silentShare, corruptShare float64
}

const (
	announceEvery = time.Second
	targetWarm    = 3 * time.Second
	workTime      = 20 * time.Millisecond
)

// begin starts a new incarnation at the target's address.
func (t *target) begin(cold bool) {
	t.generation++
	t.up, t.leaving, t.left, t.busy, t.sequence = true, false, 0, 0, 0
	t.frozen, t.wait, t.lastAcknowledged = false, nil, 0
	t.incarnation = ids.Incarnation(t.w.now/ids.Time(time.Millisecond)) + 1
	t.born = t.w.now
	if !cold {
		t.born = t.w.now.Add(-targetWarm)
	}
	t.w.targetByAddress[t.addr] = t
	t.w.trace("%s begins at %s", t.id, t.addr)
	t.announcing(t.generation)
}

func (t *target) crash() {
	if t.up {
		t.w.trace("%s crashes", t.id)
	}
	t.up = false
	t.generation++
	t.frozen, t.wait = false, nil
}

func (t *target) announcing(gen int) {
	if t.generation != gen {
		return
	}
	if t.frozen {
		t.awake(func() { t.announcing(gen) })
		return
	}
	t.announce()
	t.w.later(announceEvery+t.w.between(0, 100*time.Millisecond), func() { t.announcing(gen) })
}

func (t *target) warmth() float64 {
	return min(1, max(0.1, float64(t.w.now.Sub(t.born))/float64(targetWarm)))
}

// announce tells some registry that can be reached.
func (t *target) announce() {
	t.sequence++
	a := targets.Target{
		Instance: t.id, Incarnation: t.incarnation, Sequence: t.sequence, Service: t.service, Address: t.addr, Zone: t.zone,
		Leaving: t.leaving, Warmth: t.warmth(), Occupancy: int64(t.busy), Capacity: int64(t.capacity), IntervalMillis: uint32(announceEvery / time.Millisecond),
	}
	gen := t.generation
	t.lastRegistry = t.w.anyRegistry()
	if t.lastRegistry == nil {
		return
	}
	t.w.callAt(t.lastRegistry, string(t.id), t.zone, func(id uint64) any { t.lastAcknowledged = t.w.now; return registry.HeartbeatCall{ID: id, Target: a} }, func(registry.Response) {
		// From here on the system has learned that it leaves.
		if t.generation == gen && a.Leaving && t.left == 0 {
			t.left = t.w.now
			t.w.Checker.NetworkPartitioned()
		}
	}, nil)
}

func (t *target) leave() {
	if t.up && !t.leaving {
		t.w.trace("%s leaves", t.id)
		t.leaving = true
		t.announce()
	}
}

// run is one execution: it is written down, and answered after its work. Sent
// is when its bytes left the proxy, and came when they reached the target.
func (t *target) run(e *forwardedRequest, p *process, s ids.Name, sent, came ids.Time, left time.Duration, done func(idempotency.Response, bool)) {
	t.busy++
	r := checker.Execution{
		At: t.w.clock(), Sent: clock(sent), Instance: t.id, Service: t.service, Zone: t.zone, Token: e.requestToken, IdempotencyKey: string(e.IdempotencyKey), Attempt: e.attempt, AttemptHidden: e.Job.Attempt == 0,
		After: t.knownFor(came), Route: e.Route, TimeLeft: left, Proxy: p.name, ProxyZone: p.zone,
	}
	t.w.Checker.RequestExecuted(r)
	t.w.trace("%s runs %s attempt %d for %s", t.id, e.requestToken, e.attempt, p.name)
	if s != t.service {
		t.w.Checker.Violation("%s of %s got a request meant for %s", t.id, t.service, s)
	}
	if bears := max(float64(t.capacity)*t.warmth(), 1); float64(t.busy) > 1.5*bears+1 {
		t.w.Checker.Overloaded("%s had %d at once and bears %.1f, at %s", t.id, t.busy, bears, time.Duration(t.w.now))
	}
	gen := t.generation
	body := fmt.Sprintf("%s/%s/%x", e.requestToken, t.id, t.w.random.Uint64())
	t.w.later(t.w.between(workTime/2, workTime*3/2), func() {
		if t.generation != gen {
			done(idempotency.Response{}, false)
			return
		}
		t.busy--
		bad := t.w.random.Float64()
		done(idempotency.Response{Status: 200, Body: []byte(body)}, bad >= t.silentShare+t.corruptShare)
	})
}

// anyRegistry draws one that is up; nil where none is.
func (w *World) anyRegistry() *process {
	var up []*process
	for _, p := range w.procs {
		if p.role == membership.Registry && p.up {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.random.IntN(len(up))]
}

// call is an outside call to some registry that is up and within reach; none
// is called where nobody is. Lost, if given, hears of a call that got no word.
func (w *World) call(name string, zone ids.Name, make1 func(id uint64) any, done func(registry.Response), lost func()) {
	p := w.anyRegistry()
	if p == nil {
		if lost != nil {
			w.later(time.Millisecond, lost)
		}
		return
	}
	w.callAt(p, name, zone, make1, done, lost)
}

// callAt is an outside call to one registry.
func (w *World) callAt(p *process, name string, zone ids.Name, make1 func(id uint64) any, done func(registry.Response), lost func()) {
	over := false
	var call *exchange
	once := func(f func()) {
		if !over && f != nil {
			over, call.over = true, true
			f()
		}
	}
	call = w.begin(&exchange{from: name, to: p.name, fromZone: zone, toZone: p.zone, broken: func() { once(lost) }})
	w.later(w.waits(name), func() { once(lost) })
	if w.refused(name, zone, p.name, p.zone) {
		w.later(time.Millisecond, func() { once(lost) })
		return
	}
	if !w.open(name, zone, p.name, p.zone) {
		return
	}
	w.later(w.far(zone, p.zone), func() {
		if !p.up {
			w.later(time.Millisecond, func() { once(lost) })
			return
		}
		p.nextID++
		id := p.nextID
		p.calls[id] = func(r registry.Response) {
			if name == operator {
				r = w.confirm(r)
				if w.answeredOperator(p, r) {
					return
				}
			}
			if w.open(p.name, p.zone, name, zone) {
				w.later(w.far(p.zone, zone), func() { once(func() { done(r) }) })
			}
		}
		p.take(make1(id))
	})
}

func sortedPairs(m map[[2]ids.Name]float64) [][2]ids.Name {
	var out [][2]ids.Name
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b [2]ids.Name) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return out
}
