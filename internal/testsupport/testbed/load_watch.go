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
	// loadInterval is the interval at which the load of each zone is measured.
	loadInterval = 5 * time.Second
	// watchTimeout bounds each read of a metrics or status page.
	watchTimeout = time.Second
	// acceptableShare and maximumShare are the acceptable and maximum load of a zone,
	// as fractions of its target level.
	acceptableShare = 0.8
	maximumShare    = 1.1
)

// loadWatcher measures the load of each zone: the CPU time of its proxies, plus the CPU
// time that targets reported for the requests forwarded by them.
type loadWatcher struct {
	*Testbed
	// mu guards executions, which counts executions by the zone of the proxy.
	mu         sync.Mutex
	executions map[ids.Name]float64
	// lastMillis is the previous result of cpuMillis.
	lastMillis map[ids.Name]float64
}

// countExecution counts an execution at a target.
func (w *loadWatcher) countExecution(proxyZone ids.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[proxyZone]++
}

// countExecution passes an execution to the watcher, if there is one.
func (tb *Testbed) countExecution(proxyZone ids.Name) {
	if w := tb.watcher.Load(); w != nil {
		w.countExecution(proxyZone)
	}
}

// cpuMillis returns the CPU time that each zone has used so far, in ms.
func (w *loadWatcher) cpuMillis() map[ids.Name]float64 {
	millis := map[ids.Name]float64{}
	w.mu.Lock()
	for zone, n := range w.executions {
		millis[zone] = n * reportedCPUMillis
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

// WatchLoad measures each zone's load and passes it to the checker, until the context is
// done. At every printInterval it prints the load and the current spill-over.
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

// shortZone returns a zone's name without the common prefix.
func shortZone(zone string) string { return strings.TrimPrefix(zone, "cell-") }

// RunHotZone runs a load with one hot zone and prints each zone's load over time. As
// there is no other fault, every closed held connection is a violation.
func (tb *Testbed) RunHotZone(ctx context.Context, duration time.Duration, script *Script) {
	tb.enableSpillOrderCheck()
	tb.Checker.NoFaults = true
	target := tb.Plan.TargetLevel()
	tb.RunLoad(ctx, duration, func(load context.Context) {
		fmt.Fprintf(tb.Out, "each cell: acceptable %.0f, target %.0f, maximum %.0f ms of CPU per second\n", acceptableShare*target, target, maximumShare*target)
		var watch sync.WaitGroup
		watch.Go(func() { tb.WatchLoad(load, tb.PlanEvery) })
		tb.RunScript(ctx, script)
		watch.Wait()
	})
}

// enableSpillOrderCheck makes the checker verify the order of spill-over moves against
// the plan's configuration.
func (tb *Testbed) enableSpillOrderCheck() {
	order := checker.SpillOrder{PlanInterval: tb.PlanEvery, Tier: tb.routeRanks(), Distance: tb.Plan.Distance, Acceptable: map[ids.Name]float64{}}
	for i := range tb.Zones {
		order.Acceptable[tb.Plan.Zone(i)] = acceptableShare * tb.Plan.TargetLevel()
	}
	tb.Checker.SetSpillOrder(order)
}
