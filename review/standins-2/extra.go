package main

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

// Doses of the case. The site's garble with "extra late" has share 0.6, x 0.03 and 5 s; here one
// of three targets sends 3 in 100 of its answers twice, in each of three spans.
const (
	extraShare   = 0.03
	extraFor     = 5 * time.Second
	extraSpans   = 3
	extraPause   = 6 * time.Second
	fullShare    = 0.4 // part of the arrivals that find the target full
	ordersPerSec = 100
)

// extraAnswers: a target turns requests away when it is full, and, in trouble, sends some of its
// answers a second time where the next one is due.
func extraAnswers(f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	var inTrouble atomic.Bool
	runs := map[string]int{}
	for i, zone := range zoneNames {
		t, err := f.newTarget("i-pay-"+zone, "cuentas", zone, f.subnet+string(rune('6'+i))+"1:8080")
		if err != nil {
			return 2, err
		}
		defer t.end()
		var random sync.Mutex
		source := rand.New(rand.NewSource(int64(i) + 1))
		chance := func(p float64) bool {
			random.Lock()
			defer random.Unlock()
			return source.Float64() < p
		}
		t.turnsAway = func(string) bool { return chance(fullShare) }
		t.onRun = func(attempt, _, _ string, _ []byte) {
			mu.Lock()
			runs[attempt]++
			mu.Unlock()
		}
		if trouble && zone == "men-a" {
			// Of all answers extraShare come twice, and all of these are refusals.
			t.answersAgain = func(_ string, status int) bool {
				return inTrouble.Load() && status == 503 && chance(extraShare/fullShare)
			}
		}
		t.start()
	}
	pay := route("account-pay", "/pay/", "non_idempotent", "cuentas", maxAttempts, 3)
	pay["home_regions"] = []string{"men"}
	first := patch([]object{pay}, []object{service("cuentas", 3)}, limits(3), nil)
	if status := f.order("PATCH", "/configuration", first, 20*time.Second); status != 200 {
		return 2, errorf("the first configuration was answered %d", status)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2, errorf("the proxies are not ready")
	}
	time.Sleep(5 * time.Second)
	go func() {
		for range extraSpans {
			time.Sleep(extraPause)
			inTrouble.Store(true)
			f.record.log("the target's trouble begins")
			time.Sleep(extraFor)
			inTrouble.Store(false)
			f.record.log("the target's trouble ends")
		}
	}()
	answers := f.load("pay", ordersPerSec, extraSpans*(extraPause+extraFor)+time.Second, "PUT", "/pay/a", 300, 2500*time.Millisecond)
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	served, refusedRun, twice := 0, 0, 0
	for id, a := range answers {
		if a.status == 200 {
			served++
		}
		if (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && runs[id] > 0 {
			refusedRun++
			f.record.say("REFUSED: %s was answered %d and ran", id, a.status)
		}
		if runs[id] > 1 {
			twice++
			f.record.say("TWICE: %s ran %d times, answered %d", id, runs[id], a.status)
		}
	}
	f.record.say("tries %d, served %d, refused but run %d, run twice %d", len(answers), served, refusedRun, twice)
	if served < len(answers)/10 {
		return 2, errorf("too little was served")
	}
	if refusedRun+twice > 0 {
		return 1, nil
	}
	return 0, nil
}
