package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// statedCPUMillis is what stand-in targets state as the CPU time of a request.
const statedCPUMillis = 5.0

// loadWatcher looks at the load that each zone really carries: the CPU time of its
// proxies' processes, and what targets stated for the runs that came by them.
type loadWatcher struct {
	*Testbed
	mu         sync.Mutex
	executions map[ids.Name]float64
	lastMillis map[ids.Name]float64
}

// countExecution counts a run; targets tell.
func (w *loadWatcher) countExecution(by ids.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[by]++
}

// cpuMillis sums what each zone has spent so far, in ms.
func (w *loadWatcher) cpuMillis() map[ids.Name]float64 {
	out := map[ids.Name]float64{}
	w.mu.Lock()
	for c, n := range w.executions {
		out[c] = n * statedCPUMillis
	}
	w.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	for _, p := range w.snapshot() {
		if p.Role != "proxy" {
			continue
		}
		for name, v := range scrapeMetrics(client, p) {
			if name == "process_cpu_seconds_total" {
				out[p.Zone] += 1000 * v
			}
		}
	}
	return out
}

// WatchLoad shows every so often what each zone uses against its levels, and what
// is moved by tier, until the context ends; the witness sees the load as well.
func (tb *Testbed) WatchLoad(ctx context.Context, every time.Duration) {
	w := &loadWatcher{Testbed: tb, executions: map[ids.Name]float64{}}
	tb.watcher.Store(w)
	w.lastMillis = w.cpuMillis()
	from, last := time.Now(), time.Now()
	for n := 1; sleepContext(ctx, time.Until(last.Add(5*time.Second))); n++ {
		now, span := w.cpuMillis(), time.Since(last).Seconds()
		last = time.Now()
		line := fmt.Sprintf("%6.0fs", time.Since(from).Seconds())
		for i := range tb.Zones {
			c := tb.Plan.Zone(i)
			used := (now[c] - w.lastMillis[c]) / span
			tb.Checker.ZoneUsage(last, c, used, true)
			line += fmt.Sprintf("  %s %4.0f", strings.TrimPrefix(string(c), "cell-"), used)
		}
		w.lastMillis = now
		if time.Duration(n)*5*time.Second%every < 5*time.Second {
			fmt.Fprintf(tb.Out, "%s  | %s\n", line, tb.describeMoves())
		}
	}
}

// spillMove is one move of the status page.
type spillMove struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Route    string  `json:"route"`
	Fraction float64 `json:"fraction"`
}

// describeMoves tells the moves in force, as the status page shows them.
func (tb *Testbed) describeMoves() string {
	for _, f := range tb.registryAddresses() {
		res, err := clientFrom(operatorAddress(), time.Second).Get("http://" + f + "/v1/status")
		if err != nil {
			continue
		}
		var st struct {
			Moves []spillMove `json:"moves"`
		}
		err = json.NewDecoder(res.Body).Decode(&st)
		res.Body.Close()
		if err != nil {
			continue
		}
		slices.SortFunc(st.Moves, func(a, b spillMove) int {
			return cmp.Or(cmp.Compare(tb.tiers()[ids.Name(a.Route)], tb.tiers()[ids.Name(b.Route)]), cmp.Compare(a.To, b.To))
		})
		out := ""
		for _, m := range st.Moves {
			out += fmt.Sprintf(" %s>%s %s(%d) %.2f", strings.TrimPrefix(m.From, "cell-"), strings.TrimPrefix(m.To, "cell-"), m.Route, tb.tiers()[ids.Name(m.Route)], m.Fraction)
		}
		if out == "" {
			return "no moves"
		}
		return strings.TrimSpace(out)
	}
	return "no registry answers"
}

// tiers ranks the plan's routes, by their own tier and then their service's.
func (tb *Testbed) tiers() map[ids.Name]int {
	out := map[ids.Name]int{}
	for _, w := range tb.Routes {
		out[w.Name] = w.Tier * 10
		for _, p := range tb.Pools {
			if p.Service == w.Service {
				out[w.Name] += p.Tier
			}
		}
	}
	return out
}

// checkSpillOrder lets the witness judge the order of moves by the plan's configuration.
func (tb *Testbed) checkSpillOrder() {
	o := checker.SpillOrder{Every: tb.PlanEvery, Tier: tb.tiers(), Distance: tb.Plan.Distance, Acceptable: map[ids.Name]float64{}}
	for i := range tb.Zones {
		o.Acceptable[tb.Plan.Zone(i)] = 0.8 * tb.Plan.TargetLevel()
	}
	tb.Checker.SetSpillOrder(o)
}

// RunHotZone plays one hot zone with no other fault, so that nothing excuses a
// held connection, and shows each zone's load over time.
func (tb *Testbed) RunHotZone(ctx context.Context, duration time.Duration, script *Script) {
	tb.checkSpillOrder()
	tb.Checker.NoFaults = true
	tb.RunLoad(ctx, duration, func(load context.Context) {
		fmt.Fprintf(tb.Out, "each cell: acceptable %.0f, target %.0f, maximum %.0f ms of CPU a second\n", 0.8*tb.Plan.TargetLevel(), tb.Plan.TargetLevel(), 1.1*tb.Plan.TargetLevel())
		var all sync.WaitGroup
		all.Go(func() { tb.WatchLoad(load, tb.PlanEvery) })
		tb.RunScript(ctx, script)
		all.Wait()
	})
}
