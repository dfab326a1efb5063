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
	millisecond = time.Millisecond
	// maxRecoveryTime is the time after the end of the faults from which every request must be
	// answered.
	maxRecoveryTime = 15 * time.Second
	// maxReadyLag is the time within which ready proxies must adopt an accepted change.
	maxReadyLag = 2 * time.Second
	// maxServingLag is the time within which all serving proxies must adopt it.
	maxServingLag = 3 * time.Second
)

// checkRevisionInForce checks that every proxy that is ready or serves has adopted an accepted
// revision within maxReadyLag or maxServingLag.
func (w *World) checkRevisionInForce(revision ids.Revision) {
	check := func(after time.Duration, mustHave func(*dispatchers) bool) {
		w.schedule(after, func() {
			for _, p := range w.processes {
				if p.role == membership.Proxy && p.up && !p.frozen && mustHave(p.dispatchers) && p.dispatchers.adoptedRevision < revision {
					w.Checker.Violation("%s uses revision %d, %s after %d was accepted", p.name, p.dispatchers.adoptedRevision, after, revision)
				}
			}
		})
	}
	check(maxReadyLag, func(d *dispatchers) bool { return d.servingState.Ready })
	check(maxServingLag, func(d *dispatchers) bool { return d.servingState.LeaseValid })
}

// readConfiguration makes a linearizable read, which must not return a revision older than any
// accepted or read before the call.
func (w *World) readConfiguration() {
	floor, called := w.Checker.KnownRevision(), w.now
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(id uint64) any { return registry.ReadConfigurationCall{ID: id} }, func(response registry.Response) {
		w.history.read(called, w.now, "a read", response)
		w.checkRead("a read", response, floor)
	}, nil)
}

// checkRead passes the result of a read to the checker. It returns false if the response is not a
// configuration.
func (w *World) checkRead(reader string, response registry.Response, floor uint64) bool {
	document, ok := response.Body.(*configuration.Document)
	if !ok {
		return false
	}
	seen, err := checker.ParseConfiguration(encodeConfiguration(document))
	if err != nil {
		w.Checker.Violation("%s returned an invalid configuration: %v", reader, err)
		return true
	}
	w.Checker.ConfigurationRead(reader, seen, floor)
	return true
}

// configurationAdopted checks that the configuration revision of a proxy never decreases.
func (w *World) configurationAdopted(d *dispatchers, v *configuration.View) {
	if v.Revision < d.adoptedRevision {
		w.Checker.Violation("%s went back from revision %d to %d", d.process.name, d.adoptedRevision, v.Revision)
	}
	d.adoptedRevision = v.Revision
}

// verifyLedger reads the configuration through every registry and checks it against all accepted
// changes.
func (w *World) verifyLedger(when string) {
	for _, p := range w.processes {
		if p.role != membership.Registry || p.removed {
			continue
		}
		read, floor, called := false, w.Checker.KnownRevision(), w.now
		w.callRegistry(p, operator, w.Plan.Zone(0), func(id uint64) any { return registry.ReadConfigurationCall{ID: id} }, func(response registry.Response) {
			w.history.read(called, w.now, when, response)
			read = w.checkRead(when+", "+p.name, response, floor)
		}, nil)
		w.schedule(5*time.Second, func() {
			if !read {
				w.Checker.Violation("%s: the configuration can't be read through %s", when, p.name)
			}
		})
	}
}
