package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The times of the case second-loss, from the moment at which the first core machine is removed.
const (
	successorAfter = 100 * time.Millisecond
	// catchUp is catch_up_s: a machine that is removed stops counting once its successor has had
	// that time.
	catchUp = 4 * time.Second
	// secondLossAfter is when the second core machine loses its disk.
	secondLossAfter = successorAfter + catchUp + 200*time.Millisecond
	downTime        = 500 * time.Millisecond
	// readBackLimit is three times recovery_s.
	readBackLimit = 45 * time.Second
	lastVersion   = 3
)

// secondLoss checks that the acknowledged configuration can be read back after one core machine was
// replaced by an empty one and, once that has had catch_up_s, another lost its disk.
func secondLoss(program string, trouble bool, r *record) int {
	f, err := newFleet(program, 1)
	if err != nil {
		r.line("%v", err)
		return exitCouldNot
	}
	defer f.stopAll(false)
	if err := f.startAll(); err != nil {
		r.line("%v", err)
		return exitCouldNot
	}
	o := newOperator(f)
	for version := 1; version < lastVersion; version++ {
		if !o.configure(20*time.Second, orders(version)) {
			r.line("version %d wasn't acknowledged", version)
			return exitCouldNot
		}
		r.line("version %d acknowledged", version)
		time.Sleep(calmBefore)
	}
	if !trouble {
		return readBack(f, o, r)
	}
	removed, wiped := f.cores[0], f.cores[1]
	successor := machine{name: "core-new", ip: f.subnet + "20", zone: removed.zone, core: true}
	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	f.lose(removed, r)
	at(fromEnvironment("SUCCESSOR_MS", successorAfter))
	if !f.startCore(successor, r) {
		return exitCouldNot
	}
	f.cores = []machine{successor, wiped, f.cores[2]}
	if !o.configure(3*time.Second, orders(lastVersion)) {
		r.line("version %d wasn't acknowledged", lastVersion)
		return exitCouldNot
	}
	r.line("version %d acknowledged", lastVersion)
	second := fromEnvironment("SECOND_LOSS_MS", secondLossAfter)
	at(second)
	f.lose(wiped, r)
	at(second + downTime)
	if !f.startCore(wiped, r) {
		return exitCouldNot
	}
	return readBack(f, o, r)
}

// fromEnvironment returns a time in milliseconds that a trial sets, or the case's own.
func fromEnvironment(name string, own time.Duration) time.Duration {
	if given, err := time.ParseDuration(os.Getenv(name) + "ms"); err == nil {
		return given
	}
	return own
}

func orders(version int) route {
	return route{
		Name: "r-orders", Host: "oficio.example", Prefix: "/orders/", Kind: "non_idempotent", Timeout: 4, Goal: 0.6,
		Priority: 1, Service: "mostrador", Attempts: 2, Homes: []string{}, Version: version,
	}
}

// lose kills the processes of a core machine and takes its disk.
func (f *fleet) lose(m machine, r *record) {
	for _, role := range []string{"registry", "store"} {
		f.signal(m, role, syscall.SIGKILL)
		<-f.get(m, role).exited
	}
	err := os.RemoveAll(filepath.Join(f.dir, m.name))
	r.line("%s is killed and its disk is gone (%v)", m.name, err)
}

// startCore starts a core machine with the disk that it has.
func (f *fleet) startCore(m machine, r *record) bool {
	for _, role := range []string{"store", "registry"} {
		if err := f.start(m, role); err != nil {
			r.line("%v", err)
			return false
		}
	}
	r.line("%s starts", m.name)
	return true
}

// readBack asks for the configuration, again and again, as the operator does at the end of a day. The
// rule CONFIG is broken if nothing comes back, or an older version than the one acknowledged.
func readBack(f *fleet, o *operator, r *record) int {
	expected := lastVersion - 1
	if len(f.processes) > 7 {
		expected = lastVersion
	}
	for end, n := time.Now().Add(readBackLimit), 0; time.Now().Before(end); n++ {
		m := f.cores[n%len(f.cores)]
		status, raw := o.call(m, http.MethodGet, "/configuration", nil)
		var read struct {
			Routes []route `json:"route_table"`
		}
		if status == http.StatusOK && json.Unmarshal(raw, &read) == nil {
			r.line("%s answers a read with %s", m.name, raw)
			if len(read.Routes) == 1 && read.Routes[0].Version >= expected {
				return exitHeld
			}
			return exitBroken
		}
		if n < 30 || n%30 == 0 {
			r.line("%s answers a read with status %d", m.name, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.line("nothing came back for %s", readBackLimit)
	for _, m := range f.cores {
		for _, role := range []string{"store", "registry"} {
			select {
			case <-f.get(m, role).exited:
				r.line("the %s of %s doesn't run", role, m.name)
				return exitCouldNot
			default:
				r.line("the %s of %s runs", role, m.name)
			}
		}
	}
	return exitBroken
}
