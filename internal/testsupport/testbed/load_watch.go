package testbed

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// loadInterval is how often the load of each zone is measured.
	loadInterval = 5 * time.Second
	// watchTimeout bounds each read of a metrics or status page.
	watchTimeout = time.Second
	// acceptableShare and maximumShare are the other levels of a zone's load, as shares
	// of its target level.
	acceptableShare = 0.8
	maximumShare    = 1.1
)

// loadWatcher measures the load that each zone carries: the CPU time of its
// proxies, and what targets stated for the executions that came by them.
type loadWatcher struct {
	*Testbed
	// mu guards executions, which are by the zone of the proxy.
	mu         sync.Mutex
	executions map[ids.Name]float64
	// lastMillis is the last measurement of cpuMillis.
	lastMillis map[ids.Name]float64
}

// countExecution counts an execution at a target.
func (w *loadWatcher) countExecution(proxyZone ids.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[proxyZone]++
}

// countExecution hands an execution to the watcher, if the load is watched.
func (tb *Testbed) countExecution(proxyZone ids.Name) {
	if w := tb.watcher.Load(); w != nil {
		w.countExecution(proxyZone)
	}
}

// cpuMillis is the CPU time that each zone has used so far, in ms.
func (w *loadWatcher) cpuMillis() map[ids.Name]float64 {
	millis := map[ids.Name]float64{}
	w.mu.Lock()
	for zone, n := range w.executions {
		millis[zone] = n * statedCPUMillis
	}
	w.mu.Unlock()
	client := &http.Client{Timeout: watchTimeout}
	for _, p := range w.snapshot() {
		if p.Role == proxyRole {
			millis[p.Zone] += 1000 * scrapeMetrics(client, p)[cpuSecondsMetric]
		}
	}
	return millis
}

// WatchLoad measures each zone's load until the context ends, and gives it to the
// checker. After each printInterval it prints it with the spill-over in force.
func (tb *Testbed) WatchLoad(ctx context.Context, printInterval time.Duration) {
	w := &loadWatcher{Testbed: tb, executions: map[ids.Name]float64{}}
	tb.watcher.Store(w)
	w.lastMillis = w.cpuMillis()
	start, last := time.Now(), time.Now()
	for n := 1; sleepContext(ctx, time.Until(last.Add(loadInterval))); n++ {
		now, seconds := w.cpuMillis(), time.Since(last).Seconds()
		last = time.Now()
		line := fmt.Sprintf("%6.0fs", time.Since(start).Seconds())
		for i := range tb.Zones {
			zone := tb.Plan.Zone(i)
			used := (now[zone] - w.lastMillis[zone]) / seconds
			tb.Checker.ZoneUsage(last, zone, used, true)
			line += fmt.Sprintf("  %s %4.0f", shortZone(string(zone)), used)
		}
		w.lastMillis = now
		if time.Duration(n)*loadInterval%printInterval < loadInterval {
			fmt.Fprintf(tb.Out, "%s  | %s\n", line, tb.describeMoves())
		}
	}
}

// shortZone is a zone's name without what all of them begin with.
func shortZone(zone string) string { return strings.TrimPrefix(zone, "cell-") }

// RunHotZone runs load with one hot zone and no other fault, so that nothing
// explains the end of a held connection, and prints each zone's load over time.
func (tb *Testbed) RunHotZone(ctx context.Context, duration time.Duration, script *Script) {
	tb.checkSpillOrder()
	tb.Checker.NoFaults = true
	target := tb.Plan.TargetLevel()
	tb.RunLoad(ctx, duration, func(load context.Context) {
		fmt.Fprintf(tb.Out, "each cell: acceptable %.0f, target %.0f, maximum %.0f ms of CPU a second\n", acceptableShare*target, target, maximumShare*target)
		var watch sync.WaitGroup
		watch.Go(func() { tb.WatchLoad(load, tb.PlanEvery) })
		tb.RunScript(ctx, script)
		watch.Wait()
	})
}

// checkSpillOrder has the checker judge the order of moves by the plan's configuration.
func (tb *Testbed) checkSpillOrder() {
	order := checker.SpillOrder{PlanInterval: tb.PlanEvery, Tier: tb.routeRanks(), Distance: tb.Plan.Distance, Acceptable: map[ids.Name]float64{}}
	for i := range tb.Zones {
		order.Acceptable[tb.Plan.Zone(i)] = acceptableShare * tb.Plan.TargetLevel()
	}
	tb.Checker.SetSpillOrder(order)
}
