package simulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

// leaseOutages are outages, of 8 s each, during which proxies lose their lease.
var leaseOutages = map[string]func(w *World){
	"the whole core": func(w *World) {
		for _, p := range w.processes {
			if p.role != membership.Proxy {
				w.restartProcess(p, 8*time.Second)
			}
		}
	},
	"a region and its core machine": func(w *World) {
		for i := range w.Plan.Zones {
			if c := w.Plan.Zone(i); w.Plan.Region(c) == "region-b" {
				w.losePower(c, 8*time.Second)
			}
		}
	},
	"a region partitioned from the others": func(w *World) {
		in := func(_ string, c ids.Name) bool { return c != "" && w.Plan.Region(c) == "region-b" }
		w.addPartition(8*time.Second, &partition{sideA: in, sideB: func(n string, c ids.Name) bool { return !in(n, c) }})
	},
}

// Measures the availability cost of the lease: the share of first attempts answered during an
// outage, with the default lease and with an endless one.
func TestLease_CostsAvailabilityDuringOutages(t *testing.T) {
	for name, startOutage := range leaseOutages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			share := map[time.Duration]float64{}
			for _, lease := range []time.Duration{0, time.Hour} {
				var world *World
				o := Run(Options{
					Seed: 1, Plan: blueprint.Plans["cooperative"], Length: 46 * time.Second, FaultEvery: -1, Lease: lease, ConnectionLifetime: time.Minute, ShortConnectionShare: 0.5,
					Script: func(w *World) { world = w; w.schedule(26*time.Second, func() { startOutage(w) }) },
				})
				if lease == 0 {
					report(t, o)
				}
				from := time.Unix(32, 0)
				answered, all := world.Checker.Served(from, from.Add(8*time.Second))
				is.True(all > 500)
				share[lease] = float64(answered) / float64(all)
			}
			t.Logf("%s for 8 s: %.1f %% of requests answered at the first attempt; with an endless lease %.1f %%", name, 100*share[0], 100*share[time.Hour])
			is.True(share[0] <= share[time.Hour]+0.02) // otherwise the lease is not the cause of the cost
		})
	}
}
