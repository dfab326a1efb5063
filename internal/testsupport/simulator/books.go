package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/checker"
)

const (
	millisecond   = time.Millisecond
	restoreWithin = 15 * time.Second
	// readyWithin and servesWithin are how soon an accepted change must be held
	// by a proxy that is ready, and by one that serves anything at all.
	readyWithin  = 2 * time.Second
	servesWithin = 3 * time.Second
)

// promise looks again once an accepted change must be in force.
func (w *World) promise(r ids.Revision) {
	look := func(after time.Duration, counts func(*dispatchers) bool) {
		w.later(after, func() {
			for _, p := range w.procs {
				if p.role == membership.Proxy && p.up && !p.frozen && counts(p.dispatchers) && p.dispatchers.held < r {
					w.Checker.Violation("%s goes by revision %d, %s after %d was accepted", p.name, p.dispatchers.held, after, r)
				}
			}
		})
	}
	look(readyWithin, func(d *dispatchers) bool { return d.ready.Ready })
	look(servesWithin, func(d *dispatchers) bool { return d.ready.LeaseValid })
}

// read is an agreement read: it may not be older than anything known before.
func (w *World) read() {
	floor, called := w.Checker.KnownRevision(), w.now
	w.call(operator, w.Plan.Zone(0), func(x uint64) any { return registry.ReadConfigurationCall{ID: x} }, func(rep registry.Response) {
		w.history.read(called, w.now, "a read", rep)
		w.judge("a read", rep, floor)
	}, nil)
}

// judge shows the witness what was read.
func (w *World) judge(who string, rep registry.Response, floor uint64) bool {
	p, ok := rep.Body.(*configuration.Document)
	if !ok {
		return false
	}
	seen, err := checker.ReadConfiguration(page(p))
	if err != nil {
		w.Checker.Violation("%s gave no policy: %v", who, err)
		return true
	}
	w.Checker.ConfigurationRead(who, seen, floor)
	return true
}

// held checks what a proxy goes by from now on.
func (w *World) held(d *dispatchers, v *configuration.View) {
	if v.Revision < d.held {
		w.Checker.Violation("%s went back from revision %d to %d", d.p.name, d.held, v.Revision)
	}
	d.held = v.Revision
}

// finishLedger reads everything back at the day's end, through every registry.
func (w *World) finishLedger(when string) {
	for _, p := range w.procs {
		if p.role != membership.Registry || p.lost {
			continue
		}
		read, floor, called := false, w.Checker.KnownRevision(), w.now
		w.callAt(p, operator, w.Plan.Zone(0), func(x uint64) any { return registry.ReadConfigurationCall{ID: x} }, func(rep registry.Response) {
			w.history.read(called, w.now, when, rep)
			read = w.judge(when+", "+p.name, rep, floor)
		}, nil)
		w.later(5*time.Second, func() {
			if !read {
				w.Checker.Violation("%s: the policy can't be read through %s", when, p.name)
			}
		})
	}
}
