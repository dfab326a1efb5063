package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The times of the case, from the last heartbeat of the targets that will leave.
const (
	killAfter    = 100 * time.Millisecond
	restartAfter = 800 * time.Millisecond
	// leaveAfter is when the targets leave. Their next heartbeat was due after beatInterval and is
	// late. contact_s (4 s) after the core is back, all machines are in touch again.
	leaveAfter    = 5200 * time.Millisecond
	drainDeadline = 2 * time.Second
	// serveOn is how long a leaving target serves on after drainDeadline ("at times many seconds").
	serveOn = 8 * time.Second
	// measureSlack is the accuracy of this program's own times.
	measureSlack = 100 * time.Millisecond
	// calmBefore is longer than contact_s.
	calmBefore = 6 * time.Second
)

// departures records the leaving targets' acknowledgements and what reached them afterwards.
type departures struct {
	mu      sync.Mutex
	r       *record
	ackedAt map[string]time.Time
	late    map[string]int
	// cut holds the requests that a target was working on when it ended.
	cut map[string]string
}

func (d *departures) onRun(t *target, attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	acked, leaving := d.ackedAt[t.id]
	if !leaving {
		d.r.line("%s runs %s", t.id, attempt)
		return
	}
	since := time.Since(acked)
	d.r.line("%s runs %s, %d ms after its departure was acknowledged", t.id, attempt, since.Milliseconds())
	if since > drainDeadline+measureSlack {
		d.late[t.id]++
	}
}

// unknownDeparture checks the rule DRAIN for targets that leave after all core processes were
// killed at the same moment.
func unknownDeparture(program string, trouble bool, r *record) int {
	f, err := newFleet(program, 3)
	if err != nil {
		r.line("%v", err)
		return exitCouldNot
	}
	defer f.stopAll(false)
	if err := f.startAll(); err != nil {
		r.line("%v", err)
		return exitCouldNot
	}
	d := &departures{r: r, ackedAt: map[string]time.Time{}, late: map[string]int{}, cut: map[string]string{}}
	staying, leaving, err := startTargets(f, d)
	if err != nil {
		r.line("%v", err)
		return exitCouldNot
	}
	o := newOperator(f)
	if !o.configure(20*time.Second, route{
		Name: "r-orders", Host: "oficio.example", Prefix: "/orders/", Kind: "non_idempotent", Timeout: 4, Goal: 0.6,
		Priority: 1, Service: "mostrador", Attempts: 2, Homes: []string{}, Version: 1,
	}) || !ready(20*time.Second, func() bool { return o.isReady(f.fronts[0]) && o.isReady(f.fronts[1]) && o.isReady(f.fronts[2]) }) {
		r.line("the deployment didn't get ready")
		return exitCouldNot
	}
	r.line("ready: %d targets stay, %d will leave", len(staying), len(leaving))
	stop := make(chan struct{})
	var clients, leavers sync.WaitGroup
	for _, m := range f.fronts {
		clients.Go(func() { playOrders(m, r, stop) })
	}
	time.Sleep(calmBefore)
	if !leave(f, trouble, d, leaving, &leavers) {
		return exitCouldNot
	}
	leavers.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return d.judge(leaving)
}

// startTargets starts the targets that stay and those that will leave, in the zones of the proxies.
func startTargets(f *fleet, d *departures) (staying, leaving []*target, err error) {
	for i := range 9 {
		t := &target{
			id: fmt.Sprintf("i-stays-%d", i), service: "mostrador", zone: f.fronts[i%3].zone, slots: 2,
			address: addr(f.subnet+fmt.Sprint(100+i), 8080), work: 160 * time.Millisecond, onRun: d.onRun,
		}
		if i < 3 {
			t.id = fmt.Sprintf("i-leaves-%d", i)
			leaving = append(leaving, t)
		} else {
			staying = append(staying, t)
		}
		if err := t.start(f); err != nil {
			return nil, nil, err
		}
	}
	return staying, leaving, nil
}

// leave has the targets send their last heartbeat, kills the core if there is trouble, and has the
// targets leave. It returns false if the core couldn't be started again.
func leave(f *fleet, trouble bool, d *departures, leaving []*target, leavers *sync.WaitGroup) bool {
	for _, t := range leaving {
		t.stopBeats()
	}
	time.Sleep(beatInterval)
	last := time.Now()
	for _, t := range leaving {
		d.r.line("%s sends its last heartbeat: acknowledged %t", t.id, t.sendBeat())
	}
	for _, t := range leaving {
		leavers.Go(func() {
			time.Sleep(time.Until(last.Add(leaveAfter)))
			d.leaveOne(t)
		})
	}
	if !trouble {
		return true
	}
	time.Sleep(time.Until(last.Add(killAfter)))
	for _, m := range f.cores {
		f.signal(m, "registry", syscall.SIGKILL)
		f.signal(m, "store", syscall.SIGKILL)
	}
	d.r.line("all core processes killed")
	time.Sleep(time.Until(last.Add(restartAfter)))
	for _, m := range f.cores {
		for _, role := range []string{"store", "registry"} {
			if err := f.start(m, role); err != nil {
				d.r.line("%v", err)
				return false
			}
		}
	}
	d.r.line("all core processes started again")
	return true
}

// leaveOne sends DELETE for a target, serves on and ends.
func (d *departures) leaveOne(t *target) {
	by, ok := t.call(http.MethodDelete, nil, 3*time.Second)
	if !ok {
		d.r.line("%s leaves: not acknowledged", t.id)
	} else {
		d.mu.Lock()
		d.ackedAt[t.id] = time.Now()
		d.mu.Unlock()
		d.r.line("%s leaves: acknowledged by %s", t.id, by)
	}
	time.Sleep(drainDeadline + serveOn)
	cut := t.end()
	d.r.line("%s ends, at work on %v", t.id, cut)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range cut {
		d.cut[id] = t.id
	}
}

// playOrders sends orders to a proxy until stop is closed.
func playOrders(m machine, r *record, stop <-chan struct{}) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(55 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", m.name, n)
		r.line("%s sent to %s", id, m.name)
		tries.Go(func() {
			out := send(addr(m.ip, frontPort), try{id: id, method: http.MethodPost, host: "oficio.example", path: "/orders/" + id, body: "pipe=2", deadline: 4 * time.Second})
			r.line("%s answered: status %d, seal %q, whole %t %s, after %d ms", id, out.status, out.seal, out.whole, out.failure, out.took.Milliseconds())
		})
	}
}

// judge applies the rule DRAIN.
func (d *departures) judge(leaving []*target) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	code := exitHeld
	for _, t := range leaving {
		_, acked := d.ackedAt[t.id]
		d.r.line("%s: acknowledged %t, %d requests later than drain_deadline_s", t.id, acked, d.late[t.id])
		if d.late[t.id] > 0 {
			code = exitBroken
		}
	}
	d.r.line("%d orders were cut by the end of a target whose departure had been acknowledged", len(d.cut))
	return code
}
