package main

import (
	"sync"
	"syscall"
	"time"
)

// Figures of the case: those of the site for planned work, and sizes within the limits item.
const (
	orderBytes    = 1 << 20 // max_body_bytes is 64 MiB
	orderDeadline = 4 * time.Second
	gracePeriod   = 6 * time.Second
	readPause     = 2 * time.Second
	termGap       = 10 * time.Second
)

// slowReader: the front machines are stopped and started in turn while targets read the bodies of
// orders slowly, working on them.
func slowReader(f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	began := map[string]bool{}
	for i, zone := range zoneNames {
		t, err := f.newTarget("i-order-"+zone, "mostrador", zone, f.subnet+"61:"+string(rune('1'+i))+"080")
		if err != nil {
			return 2, err
		}
		defer t.end()
		t.slots, t.work = 8, 100*time.Millisecond
		if trouble {
			t.readPause = readPause // of every second large body
		}
		t.onRun = func(attempt, _, _ string, _ []byte) {
			mu.Lock()
			began[attempt] = true
			mu.Unlock()
		}
		t.start()
	}
	first := patch([]object{route("order-place", "/order/", "non_idempotent", "mostrador", maxAttempts, 3)}, []object{service("mostrador", 3)}, limits(3), nil)
	if status := f.order("PATCH", "/configuration", first, 20*time.Second); status != 200 {
		return 2, errorf("the first configuration was answered %d", status)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2, errorf("the proxies are not ready")
	}
	time.Sleep(5 * time.Second)
	terms := map[string]time.Time{}
	failed := make(chan error, 1)
	go func() { failed <- f.rollTerm(terms) }()
	answers := f.load("order", 6, time.Duration(len(f.fronts))*termGap, "POST", "/order/a", orderBytes, orderDeadline)
	if err := <-failed; err != nil {
		return 2, err
	}
	mu.Lock()
	defer mu.Unlock()
	served, lost := 0, 0
	for id, a := range answers {
		if a.status == 200 {
			served++
		}
		term, ok := terms[a.address]
		// Own answers and closed connections after the SIGTERM to a request that its target works
		// on, but for the last sixth of the grace period and for what reaches its deadline.
		after := a.end.Sub(term)
		if ok && began[id] && a.seal == "" && after > 0 && after < gracePeriod*5/6 && a.end.Sub(a.sent) < orderDeadline-100*time.Millisecond {
			lost++
			f.record.say("LOST: %s, sent %.2f s from the SIGTERM of its machine, ended %.2f s after it, %.2f s after it was sent, with %d %s",
				id, a.sent.Sub(term).Seconds(), after.Seconds(), a.end.Sub(a.sent).Seconds(), a.status, a.failure)
		}
	}
	f.record.say("tries %d, served %d, lost around a SIGTERM %d", len(answers), served, lost)
	if lost > 0 {
		return 1, nil
	}
	if served < len(answers)/2 {
		return 2, errorf("too little was served")
	}
	return 0, nil
}

// rollTerm stops the front machines in turn, as the platform does, and starts them again.
func (f *fleet) rollTerm(terms map[string]time.Time) error {
	for _, m := range f.fronts {
		time.Sleep(termGap - gracePeriod - time.Second)
		terms[m.address(frontPort)] = time.Now()
		f.record.log("SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
		select {
		case <-m.processes["proxy"].done:
			f.record.log("%s has ended", m.name)
		case <-time.After(gracePeriod):
			f.record.log("SIGKILL to %s", m.name)
			m.kill()
		}
		time.Sleep(time.Until(terms[m.address(frontPort)].Add(gracePeriod + 500*time.Millisecond)))
		if err := f.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}
