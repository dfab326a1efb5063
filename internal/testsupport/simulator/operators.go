package simulator

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/blueprint"
)

// operator is the name of all operators in partitions and exchanges.
const operator = "operator"

// operatorState is the state of the simulated operators. The changes that they sent and the
// responses are recorded in the ledger of the checker.
type operatorState struct {
	serial      int
	stopped     bool
	drainedZone ids.Name
	// zoneRevision is the newest revision that drained or restored a zone.
	zoneRevision ids.Revision
	// racedVersion is the newest known version of blueprint.RacedRoute.
	racedVersion ids.Revision
	// confirmed contains the IDs of the changes that a registry has acknowledged, whether or not
	// its response arrived.
	confirmed map[string]bool
	// changeRecordsLost is set once all core disks, and with them the records of accepted changes,
	// were lost.
	changeRecordsLost bool
	// routeFlipped is set once blueprint.ReassignedRoute has been put.
	routeFlipped bool
}

// runOperators sends valid, invalid, stale and racing changes and reads until the operators are
// stopped.
func (w *World) runOperators() {
	if w.operators.stopped {
		return
	}
	w.schedule(w.randomDuration(100*millisecond, 900*millisecond), func() {
		w.operators.serial++
		serial := w.operators.serial
		switch draw := w.random.IntN(14); {
		case draw < 4:
			// Sometimes two operators change items at once.
			w.putPair(serial, w.random.IntN(blueprint.RoutePairs))
			if draw == 0 {
				w.operators.serial++
				w.putPair(w.operators.serial, w.random.IntN(blueprint.RoutePairs))
			}
		case draw < 5:
			w.sendInvalidChange(w.changes().Invalid(fmt.Sprintf("broken-%d", serial), serial))
		case draw < 6:
			w.sendInvalidChange(w.changes().Stale(fmt.Sprintf("stale-%d", serial), serial))
		case draw < 7:
			w.sendChange(w.changes().Remove(fmt.Sprintf("unput-%d", serial), w.random.IntN(blueprint.RoutePairs)), nil)
		case draw < 8:
			w.raceRoute(serial)
		case draw < 9:
			w.sendChange(w.changes().ZoneMaximum(fmt.Sprintf("level-%d", serial), serial), nil)
		case draw < 11:
			w.flipRoute(serial)
		default:
			w.readConfiguration()
		}
		w.runOperators()
	})
}

// changes returns a generator of changes for the plan.
func (w *World) changes() blueprint.ChangeGenerator {
	return blueprint.ChangeGenerator{Plan: w.Plan, Random: w.random}
}

// putPair puts both items of a pair in one change, marked with a serial number.
func (w *World) putPair(serial, pair int) {
	w.sendChange(w.changes().Put(fmt.Sprintf("put-%d", serial), serial, pair), nil)
}

// flipRoute moves a route between services.
func (w *World) flipRoute(serial int) {
	w.operators.routeFlipped = true
	w.sendChange(w.changes().Reassign(fmt.Sprintf("flip-%d", serial)), nil)
}

// raceRoute makes two operators change the same version of a route. Only one may succeed.
func (w *World) raceRoute(serial int) {
	won := 0
	for _, side := range []string{"a", "b"} {
		w.sendChange(w.changes().Race(fmt.Sprintf("race-%d%s", serial, side), serial, w.operators.racedVersion), func(r configuration.Result) {
			w.operators.racedVersion = max(w.operators.racedVersion, r.Revision)
			if won++; won > 1 {
				w.Checker.Violation("both changes of race-%d were accepted", serial)
			}
		})
	}
}

// sendInvalidChange sends a change that must not be accepted.
func (w *World) sendInvalidChange(raw string) {
	id := w.Checker.ChangeSent([]byte(raw), w.wallTime())
	w.Checker.ChangeRejected(id)
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(raw)} }, func(response registry.Response) {
		if response.Status == 200 {
			w.Checker.Violation("%s was accepted", id)
		}
	}, nil)
}

// encodeConfiguration encodes a configuration as GET /v1/policy does.
func encodeConfiguration(p *configuration.Document) []byte {
	raw, _ := json.Marshal(p)
	return raw
}
