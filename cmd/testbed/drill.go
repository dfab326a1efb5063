package main

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/simulator"
)

// DrillCmd plays seeds in the simulator.
type DrillCmd struct {
	Plan   string        `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Scene  string        `help:"Faults at set times instead of by lot: the name of a scene, or all." xor:"what" name:"scene"`
	Hot    bool          `help:"Several hot cells under lost planners, stale reports, storms and emptying, to judge the order of moves." xor:"what" name:"hot"`
	From   uint64        `help:"First seed." default:"1" name:"from"`
	Seeds  uint64        `help:"How many seeds." default:"100" name:"seeds"`
	Length time.Duration `help:"Virtual time with faults, for each seed." default:"60s" name:"length"`
	Eager  bool          `help:"Let the next core machine be lost after 4 s of calm, even if the last one's place isn't taken yet." name:"eager"`
	Trace  bool          `help:"Print what happened, line by line." name:"trace"`
	Jobs   int           `help:"Seeds at a time; 0 for one a processor." name:"jobs"`
}

// played is one run to be done.
type played struct {
	scene string
	seed  uint64
}

// runs lists what is asked for, or says what is wrong with it.
func (d *DrillCmd) runs() ([]played, error) {
	scenes := []string{d.Scene}
	switch {
	case d.Seeds == 0:
		return nil, fmt.Errorf("--seeds: must be at least 1")
	case d.Length < 20*time.Second:
		return nil, fmt.Errorf("--length: must be at least 20s, or no fault has the time to show")
	case d.Scene == "all":
		scenes = slices.Sorted(maps.Keys(simulator.Scenes))
	case d.Scene != "" && simulator.Scenes[d.Scene] == nil:
		return nil, fmt.Errorf("--scene: there is none named %q; there are %v", d.Scene, slices.Sorted(maps.Keys(simulator.Scenes)))
	}
	var out []played
	for _, s := range scenes {
		for n := range d.Seeds {
			out = append(out, played{s, d.From + n})
		}
	}
	return out, nil
}

// options are the options of one run.
func (d *DrillCmd) options(p played) simulator.Options {
	out := simulator.Options{Seed: p.seed, Plan: blueprint.Plans[d.Plan], Length: d.Length, Script: simulator.Scenes[p.scene]}
	if d.Hot {
		out = simulator.Hot(p.seed)
	}
	out.KeepLog, out.EagerLosses = d.Trace, d.Eager
	return out
}

// sum adds up what runs came to.
type sum struct {
	events uint64
	counts map[string]int
	judged map[string]int
	broken map[string]int
	struck map[string]int
	order  []string
}

func (s *sum) add(o simulator.Outcome) {
	s.events += o.Events
	for k, n := range o.Responses {
		s.counts[k] += n
	}
	s.counts["changes"] += o.Changes
	for kind, n := range o.FaultCounts {
		s.struck[kind] += n
	}
	for _, c := range o.Counts {
		if _, ok := s.judged[c.Rule]; !ok {
			s.order = append(s.order, c.Rule)
		}
		s.judged[c.Rule] += c.Judged
		s.broken[c.Rule] += c.Violations
	}
}

// show prints each promise, and says so where nothing came up to judge it by.
func (s *sum) show() {
	for _, what := range s.order {
		if s.judged[what] == 0 && s.broken[what] == 0 {
			fmt.Printf("  %-62s nothing to judge\n", what)
			continue
		}
		fmt.Printf("  %-62s %d in %d\n", what, s.broken[what], s.judged[what])
	}
}

// Run plays them, and gives one command for each bad seed.
func (d *DrillCmd) Run() error {
	list, err := d.runs()
	if err != nil {
		return err
	}
	jobs := d.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	bad := 0
	total := &sum{counts: map[string]int{}, judged: map[string]int{}, broken: map[string]int{}, struck: map[string]int{}}
	next := make(chan played)
	for range jobs {
		all.Go(func() {
			for p := range next {
				o := simulator.Run(d.options(p))
				mu.Lock()
				total.add(o)
				for _, line := range o.Log {
					fmt.Println(line)
				}
				if o.Violations > 0 {
					bad++
					fmt.Println(o.Replay(d.Plan, p.scene, d.Hot, d.Length))
					for _, c := range o.Counts {
						if c.Violations > 0 {
							fmt.Printf("  %s: %d, such as %s\n", c.Rule, c.Violations, c.Sample)
						}
					}
				}
				mu.Unlock()
			}
		})
	}
	for _, p := range list {
		next <- p
	}
	close(next)
	all.Wait()
	fmt.Printf("%d runs, %d events, %v; %d bad\n", len(list), total.events, total.counts, bad)
	total.show()
	if len(total.struck) > 0 {
		fmt.Printf("faults by lot: %v\n", total.struck)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs broke a promise", bad, len(list))
	}
	return nil
}
