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

// Changes are accepted; hundreds of others follow, every store is restarted, and one is replaced by a
// blank one. Then the first changes are sent again through each registry: each is acknowledged with
// the same revision.
func TestChanges_ResentMuchLaterKeepTheirRevision(t *testing.T) {
	is := is.New(t)
	type order struct {
		id, raw  string
		revision ids.Revision
	}
	var orders []order
	others, again := 0, 0
	o := Run(Options{Seed: 5, Length: 60 * time.Second, Script: func(w *World) {
		w.allNumberAttempts = true
		w.repeat(6*time.Second, 200*time.Millisecond, 12, func(i int) {
			raw := fmt.Sprintf(`{"id":"early-%d","changes":[{"kind":"service","name":"early-%d","version":0,"put":{}}]}`, i, i)
			w.sendChange(raw, func(r configuration.Result) {
				orders = append(orders, order{fmt.Sprintf("early-%d", i), raw, r.Revision})
			})
		})
		w.repeat(10*time.Second, 40*time.Millisecond, 320, func(i int) {
			raw := fmt.Sprintf(`{"id":"other-%d","changes":[{"kind":"service","name":"early-%d","put":{"allowance":%d}}]}`, i, i%12, i)
			w.sendChange(raw, func(configuration.Result) { others++ })
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
				for _, sent := range orders {
					w.callRegistry(p, operator, w.Plan.Zone(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(sent.raw)} }, func(rep registry.Response) {
						again++
						if r, ok := rep.Body.(configuration.Result); rep.Status != 200 || !ok || r.Revision != sent.revision {
							t.Errorf("%s, made in revision %d, got %d %+v", sent.id, sent.revision, rep.Status, rep.Body)
						}
					}, func() { t.Errorf("no answer to %s", sent.id) })
				}
			}
		})
	}, Plan: blueprint.Plans["small"]})
	report(t, o)
	t.Logf("%d orders, %d others, %d sent again", len(orders), others, again)
	is.Equal(len(orders), 12)
	is.True(others > 300)
	is.True(again >= 24)
}
