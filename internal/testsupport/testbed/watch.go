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

// statedCost is what stand-in targets state as the CPU time of a request.
const statedCost = 5.0

// watcher looks at the load that each zone really carries: the CPU time of its
// proxies' processes, and what targets stated for the runs that came by them.
type watcher struct {
	*Testbed
	mu   sync.Mutex
	runs map[ids.Name]float64
	last map[ids.Name]float64
}

// ran counts a run; targets tell.
func (w *watcher) ran(by ids.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[by]++
}

// spent sums what each zone has spent so far, in ms.
func (w *watcher) spent() map[ids.Name]float64 {
	out := map[ids.Name]float64{}
	w.mu.Lock()
	for c, n := range w.runs {
		out[c] = n * statedCost
	}
	w.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	for _, p := range w.all() {
		if p.Role != "proxy" {
			continue
		}
		for name, v := range figures(client, p) {
			if name == "process_cpu_seconds_total" {
				out[p.Zone] += 1000 * v
			}
		}
	}
	return out
}

// Watch shows every so often what each zone uses against its levels, and what
// is moved by tier, until the context ends; the witness sees the load as well.
func (s *Testbed) Watch(ctx context.Context, every time.Duration) {
	w := &watcher{Testbed: s, runs: map[ids.Name]float64{}}
	s.watcher.Store(w)
	w.last = w.spent()
	from, last := time.Now(), time.Now()
	for n := 1; wait(ctx, time.Until(last.Add(5*time.Second))); n++ {
		now, span := w.spent(), time.Since(last).Seconds()
		last = time.Now()
		line := fmt.Sprintf("%6.0fs", time.Since(from).Seconds())
		for i := range s.Zones {
			c := s.Plan.Zone(i)
			used := (now[c] - w.last[c]) / span
			s.Checker.ZoneUsage(last, c, used, true)
			line += fmt.Sprintf("  %s %4.0f", strings.TrimPrefix(string(c), "cell-"), used)
		}
		w.last = now
		if time.Duration(n)*5*time.Second%every < 5*time.Second {
			fmt.Fprintf(s.Out, "%s  | %s\n", line, s.moved())
		}
	}
}

// movement is one move of the status page.
type movement struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Route    string  `json:"route"`
	Fraction float64 `json:"fraction"`
}

// moved tells the moves in force, as the status page shows them.
func (s *Testbed) moved() string {
	for _, f := range s.registries() {
		res, err := from(operatorAt(), time.Second).Get("http://" + f + "/v1/status")
		if err != nil {
			continue
		}
		var st struct {
			Moves []movement `json:"moves"`
		}
		err = json.NewDecoder(res.Body).Decode(&st)
		res.Body.Close()
		if err != nil {
			continue
		}
		slices.SortFunc(st.Moves, func(a, b movement) int {
			return cmp.Or(cmp.Compare(s.tiers()[ids.Name(a.Route)], s.tiers()[ids.Name(b.Route)]), cmp.Compare(a.To, b.To))
		})
		out := ""
		for _, m := range st.Moves {
			out += fmt.Sprintf(" %s>%s %s(%d) %.2f", strings.TrimPrefix(m.From, "cell-"), strings.TrimPrefix(m.To, "cell-"), m.Route, s.tiers()[ids.Name(m.Route)], m.Fraction)
		}
		if out == "" {
			return "no moves"
		}
		return strings.TrimSpace(out)
	}
	return "no registry answers"
}

// tiers ranks the plan's routes, by their own tier and then their service's.
func (s *Testbed) tiers() map[ids.Name]int {
	out := map[ids.Name]int{}
	for _, w := range s.Routes {
		out[w.Name] = w.Tier * 10
		for _, p := range s.Pools {
			if p.Service == w.Service {
				out[w.Name] += p.Tier
			}
		}
	}
	return out
}

// judgeOrder lets the witness judge the order of moves by the plan's configuration.
func (s *Testbed) judgeOrder() {
	o := checker.SpillOrder{Every: s.PlanEvery, Tier: s.tiers(), Distance: s.Plan.Distance, Acceptable: map[ids.Name]float64{}}
	for i := range s.Zones {
		o.Acceptable[s.Plan.Zone(i)] = 0.8 * s.Plan.TargetLevel()
	}
	s.Checker.SetSpillOrder(o)
}

// PlayHot plays one hot zone with no other fault, so that nothing excuses a
// held connection, and shows each zone's load over time.
func (s *Testbed) PlayHot(ctx context.Context, d time.Duration, script *Script) {
	s.judgeOrder()
	s.Checker.NoFaults = true
	s.Play(ctx, d, func(load context.Context) {
		fmt.Fprintf(s.Out, "each cell: acceptable %.0f, target %.0f, maximum %.0f ms of CPU a second\n", 0.8*s.Plan.TargetLevel(), s.Plan.TargetLevel(), 1.1*s.Plan.TargetLevel())
		var all sync.WaitGroup
		all.Go(func() { s.Watch(load, s.PlanEvery) })
		s.Perform(ctx, script)
		all.Wait()
	})
}
