package testbed

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// Testbed is a fleet with its stand-ins.
type Testbed struct {
	*Fleet
	Checker *checker.Checker
	Targets []*Target
	Out     io.Writer
	// clients are those of the play that is on.
	clients   *Clients
	operators *Operators
	watcher   atomic.Pointer[watcher]
	probes    probes
	// fresh counts the targets that took another's place.
	fresh int
}

// Options are the options of a testbed.
type Options struct {
	Plan  string
	Dir   string
	Fixed bool
	Out   io.Writer
	// Relay puts the relay between the daemons: region delays and cuts.
	Relay bool
	// Bin holds built daemons, to compare versions; empty takes those beside this
	// program, or builds them.
	Bin string
	// Other holds those of every other daemon, for a mixed fleet.
	Other string
	// Rate replaces the plan's requests a second.
	Rate float64
	// Target is each zone's comfortable level, instead of the plan's.
	Target float64
	// PlanEvery is how often the spill is planned; zero for 5 s.
	PlanEvery time.Duration
}

// Start starts a fleet, sets its configuration and starts its targets.
func Start(ctx context.Context, p Options) (*Testbed, error) {
	plan, ok := blueprint.Plans[p.Plan]
	if !ok {
		return nil, errs.New("choose plan", "", "there is no plan %q", p.Plan)
	}
	if p.Fixed {
		block = fixedBlock
	}
	if p.Rate > 0 {
		plan.Rate = p.Rate
	}
	if p.Target > 0 {
		plan.Target = p.Target
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	s := &Testbed{Fleet: &Fleet{Plan: plan, Dir: p.Dir, Fixed: p.Fixed, PlanEvery: cmp.Or(p.PlanEvery, 5*time.Second)}, Checker: &checker.Checker{}, Out: p.Out}
	if p.Relay {
		s.relay = &Relay{Delay: s.delay}
	}
	s.Other = p.Other
	s.Checker.RetryAllowance = float64(plan.Allowed())
	var err error
	if s.Bin, err = chooseBin(p.Bin, beside(), filepath.Join(p.Dir, "bin"), Build); err != nil {
		return nil, err
	}
	fmt.Fprintf(s.Out, "daemons of %s\n", s.Bin)
	if err := s.Start(); err != nil {
		s.StopAll()
		return nil, err
	}
	took, err := s.Await(ctx, 20*time.Second)
	if err == nil {
		fmt.Fprintf(s.Out, "fleet of %d daemons ready after %s\n", len(s.Procs), took.Round(time.Millisecond))
		err = s.configuration(ctx)
	}
	if err == nil {
		err = s.targets()
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// configuration sends the plan's whole change until it is accepted.
func (s *Testbed) configuration(ctx context.Context) error {
	last := ""
	id := s.Checker.ChangeSent(s.InitialChange(), time.Now())
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		res, err := http.Post("http://"+s.Of("registry")[0].HTTP+"/v1/change", "application/json", bytes.NewReader(s.InitialChange()))
		if err != nil {
			last = err.Error()
			continue
		}
		raw, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if last = string(raw); res.StatusCode == http.StatusOK {
			var r struct {
				Revision uint64 `json:"revision"`
			}
			err := json.Unmarshal(raw, &r)
			s.Checker.ChangeAccepted(id, r.Revision, time.Now())
			return errs.Wrap(err, "read answer to policy", "")
		}
	}
	return errs.New("set policy", "", "%s", last)
}

// registries gives the registries's pages in an order of the day.
func (s *Testbed) registries() []string {
	var out []string
	for _, p := range s.all() {
		if p.Role == "registry" && !p.Gone {
			out = append(out, p.HTTP)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (s *Testbed) targets() error {
	n := 0
	for _, pool := range s.Pools {
		for i := range pool.Targets {
			at, err := loopback(n%s.Zones, 4, n, 0)
			if err != nil {
				return err
			}
			t := &Target{
				Instance: pool.Instance(i), Service: pool.Service, Zone: s.Plan.Zone(n), Address: at,
				Capacity: pool.Capacity, Work: 20 * time.Millisecond, Checker: s.Checker, Registries: s.registries, Delay: s.trip,
				RouteOf: s.routeOf, ZoneOf: s.zoneOf, Ran: s.ran,
			}
			if s.relay != nil {
				if t.boundAddress, err = s.behind(at, n%s.Zones, 4, n); err != nil {
					return err
				}
			}
			if err := t.Start(false); err != nil {
				return err
			}
			s.Targets = append(s.Targets, t)
			n++
		}
	}
	return nil
}

// Close ends everything that was started.
func (s *Testbed) Close() {
	for _, t := range s.Targets {
		t.Crash()
	}
	s.StopAll()
	if s.relay != nil {
		s.relay.Close()
	}
}

// Play runs load for a while, with something done in the midst of it.
func (s *Testbed) Play(ctx context.Context, d time.Duration, deed func(context.Context)) {
	load, stop := context.WithTimeout(ctx, d)
	defer stop()
	c := &Clients{Plan: s.Plan, Checker: s.Checker, Registries: s.registries, Delay: s.trip, Testbed: s}
	s.clients = c
	s.operators = NewOperators(s)
	var all sync.WaitGroup
	all.Go(func() { c.Run(load) })
	all.Go(func() { s.operators.Run(load) })
	all.Go(func() { s.probes.run(load, s) })
	if deed != nil {
		deed(load)
	}
	all.Wait()
	s.operators.VerifyLedger("the day's end")
}

// Report prints what was counted, and gives the number of broken promises.
func (s *Testbed) Report(since time.Time) int {
	tally := s.Checker.CountByClass(since)
	fmt.Fprintf(s.Out, "\nanswers: %d answered, %d declined, %d unknown, %d lost, %d unreached; %d runs at targets\n",
		tally["answered"], tally["declined"], tally["unknown"], tally["lost"], tally["unreached"], tally["runs"])
	soon, n := s.Checker.ShareWithin(time.Second)
	late, _ := s.Checker.ShareWithin(5 * time.Second)
	fmt.Fprintf(s.Out, "of %d requests %.2f%% had their answer within 1 s of the first attempt, %.2f%% within 5 s\n", n, soon*100, late*100)
	fmt.Fprintf(s.Out, "last first attempt without an answer: %s after the machines were back\n", s.Checker.Recovery().Round(time.Millisecond))
	broken := 0
	for _, c := range s.Checker.Results() {
		broken += c.Violations
		if c.Judged == 0 && c.Violations == 0 {
			fmt.Fprintf(s.Out, "  %-62s nothing to judge\n", c.Rule)
			continue
		}
		fmt.Fprintf(s.Out, "  %-62s %d in %d  %s\n", c.Rule, c.Violations, c.Judged, c.Sample)
	}
	s.probes.show(s)
	fmt.Fprintf(s.Out, "%d changes accepted, %d of unknown end\n", s.Checker.Changes(), s.Checker.OpenChanges())
	return broken
}
