package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/blueprint"
)

// Resent changes are acknowledged with their original revision by every registry, even after
// hundreds of other changes, restarts of all stores and the replacement of a core machine.
func TestChanges_ResentMuchLaterKeepTheirRevision(t *testing.T) {
	is := is.New(t)
	type sentChange struct {
		id, raw  string
		revision ids.Revision
	}
	var changes []sentChange
	otherChanges, resent := 0, 0
	o := Run(Options{Seed: 5, Length: 60 * time.Second, Script: func(w *World) {
		w.allNumberAttempts = true
		w.repeat(6*time.Second, 200*time.Millisecond, 12, func(i int) {
			raw := fmt.Sprintf(`{"id":"early-%d","changes":[{"kind":"service","name":"early-%d","version":0,"put":{}}]}`, i, i)
			w.sendChange(raw, func(r configuration.Result) {
				changes = append(changes, sentChange{fmt.Sprintf("early-%d", i), raw, r.Revision})
			})
		})
		w.repeat(10*time.Second, 40*time.Millisecond, 320, func(i int) {
			raw := fmt.Sprintf(`{"id":"other-%d","changes":[{"kind":"service","name":"early-%d","put":{"allowance":%d}}]}`, i, i%12, i)
			w.sendChange(raw, func(configuration.Result) { otherChanges++ })
		})
		for i := range 3 {
			w.schedule(time.Duration(26+4*i)*time.Second, func() { w.restartProcess(w.processes[i], time.Second) })
		}
		w.schedule(38*time.Second, w.replaceCoreMachine)
		w.schedule(55*time.Second, func() {
			for _, p := range w.processes {
				if p.role != membership.Registry || !p.up {
					continue
				}
				for _, sent := range changes {
					w.callRegistry(p, operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(sent.raw)} }, func(response registry.Response) {
						resent++
						if r, ok := response.Body.(configuration.Result); response.Status != 200 || !ok || r.Revision != sent.revision {
							t.Errorf("resent %s, accepted at revision %d: got %d %+v", sent.id, sent.revision, response.Status, response.Body)
						}
					}, func() { t.Errorf("no response to resent %s", sent.id) })
				}
			}
		})
	}, Plan: blueprint.Plans["small"]})
	report(t, o)
	t.Logf("%d changes, %d other changes, %d resent", len(changes), otherChanges, resent)
	is.Equal(len(changes), 12)
	is.True(otherChanges > 300)
	is.True(resent >= 24)
}
