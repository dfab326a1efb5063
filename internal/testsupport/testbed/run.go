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
	watcher   atomic.Pointer[loadWatcher]
	probes    livenessProbes
	// replacedTargets counts the targets that took another's place.
	replacedTargets int
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
	// OtherBin holds those of every other daemon, for a mixed fleet.
	OtherBin string
	// Rate replaces the plan's requests a second.
	Rate float64
	// TargetLevel is each zone's comfortable level, instead of the plan's.
	TargetLevel float64
	// PlanEvery is how often the spill is planned; zero for 5 s.
	PlanEvery time.Duration
}

// Start starts a fleet, sets its configuration and starts its targets.
func Start(ctx context.Context, o Options) (*Testbed, error) {
	plan, ok := blueprint.Plans[o.Plan]
	if !ok {
		return nil, errs.New("choose plan", "", "there is no plan %q", o.Plan)
	}
	if o.Fixed {
		loopbackBlock = fixedLoopbackBlock
	}
	if o.Rate > 0 {
		plan.Rate = o.Rate
	}
	if o.TargetLevel > 0 {
		plan.Target = o.TargetLevel
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	tb := &Testbed{Fleet: &Fleet{Plan: plan, Dir: o.Dir, Fixed: o.Fixed, PlanEvery: cmp.Or(o.PlanEvery, 5*time.Second)}, Checker: &checker.Checker{}, Out: o.Out}
	if o.Relay {
		tb.relay = &Relay{Delay: tb.latency}
	}
	tb.OtherBin = o.OtherBin
	tb.Checker.RetryAllowance = float64(plan.Allowed())
	var err error
	if tb.Bin, err = chooseBinaries(o.Bin, ownFolder(), filepath.Join(o.Dir, "bin"), Build); err != nil {
		return nil, err
	}
	fmt.Fprintf(tb.Out, "daemons of %s\n", tb.Bin)
	if err := tb.Start(); err != nil {
		tb.StopAll()
		return nil, err
	}
	took, err := tb.AwaitReady(ctx, 20*time.Second)
	if err == nil {
		fmt.Fprintf(tb.Out, "fleet of %d daemons ready after %s\n", len(tb.Processes), took.Round(time.Millisecond))
		err = tb.applyConfiguration(ctx)
	}
	if err == nil {
		err = tb.startTargets()
	}
	if err != nil {
		tb.Close()
		return nil, err
	}
	return tb, nil
}

// applyConfiguration sends the plan's whole change until it is accepted.
func (tb *Testbed) applyConfiguration(ctx context.Context) error {
	last := ""
	id := tb.Checker.ChangeSent(tb.InitialChange(), time.Now())
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		res, err := http.Post("http://"+tb.ProcessesOf("registry")[0].HTTP+"/v1/change", "application/json", bytes.NewReader(tb.InitialChange()))
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
			tb.Checker.ChangeAccepted(id, r.Revision, time.Now())
			return errs.Wrap(err, "read answer to policy", "")
		}
	}
	return errs.New("set policy", "", "%s", last)
}

// registryAddresses gives the registries's pages in an order of the day.
func (tb *Testbed) registryAddresses() []string {
	var out []string
	for _, p := range tb.snapshot() {
		if p.Role == "registry" && !p.Replaced {
			out = append(out, p.HTTP)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (tb *Testbed) startTargets() error {
	n := 0
	for _, pool := range tb.Pools {
		for i := range pool.Targets {
			at, err := loopbackAddress(n%tb.Zones, 4, n, 0)
			if err != nil {
				return err
			}
			t := &Target{
				Instance: pool.Instance(i), Service: pool.Service, Zone: tb.Plan.Zone(n), Address: at,
				Capacity: pool.Capacity, Work: 20 * time.Millisecond, Checker: tb.Checker, Registries: tb.registryAddresses, Delay: tb.standInLatency,
				RouteOf: tb.routeOf, ZoneOf: tb.zoneOf, OnExecution: tb.countExecution,
			}
			if tb.relay != nil {
				if t.listenAddress, err = tb.relayTo(at, n%tb.Zones, 4, n); err != nil {
					return err
				}
			}
			if err := t.Start(false); err != nil {
				return err
			}
			tb.Targets = append(tb.Targets, t)
			n++
		}
	}
	return nil
}

// Close ends everything that was started.
func (tb *Testbed) Close() {
	for _, t := range tb.Targets {
		t.Crash()
	}
	tb.StopAll()
	if tb.relay != nil {
		tb.relay.Close()
	}
}

// RunLoad runs load for a while, with something done in the midst of it.
func (tb *Testbed) RunLoad(ctx context.Context, duration time.Duration, during func(context.Context)) {
	load, stop := context.WithTimeout(ctx, duration)
	defer stop()
	c := &Clients{Plan: tb.Plan, Checker: tb.Checker, Registries: tb.registryAddresses, Delay: tb.standInLatency, Testbed: tb}
	tb.clients = c
	tb.operators = NewOperators(tb)
	var all sync.WaitGroup
	all.Go(func() { c.Run(load) })
	all.Go(func() { tb.operators.Run(load) })
	all.Go(func() { tb.probes.run(load, tb) })
	if during != nil {
		during(load)
	}
	all.Wait()
	tb.operators.VerifyLedger("the day's end")
}

// Report prints what was counted, and gives the number of broken promises.
func (tb *Testbed) Report(since time.Time) int {
	tally := tb.Checker.CountByClass(since)
	fmt.Fprintf(tb.Out, "\nanswers: %d answered, %d declined, %d unknown, %d lost, %d unreached; %d runs at targets\n",
		tally["answered"], tally["declined"], tally["unknown"], tally["lost"], tally["unreached"], tally["runs"])
	soon, n := tb.Checker.ShareWithin(time.Second)
	late, _ := tb.Checker.ShareWithin(5 * time.Second)
	fmt.Fprintf(tb.Out, "of %d requests %.2f%% had their answer within 1 s of the first attempt, %.2f%% within 5 s\n", n, soon*100, late*100)
	fmt.Fprintf(tb.Out, "last first attempt without an answer: %s after the machines were back\n", tb.Checker.Recovery().Round(time.Millisecond))
	broken := 0
	for _, c := range tb.Checker.Results() {
		broken += c.Violations
		if c.Judged == 0 && c.Violations == 0 {
			fmt.Fprintf(tb.Out, "  %-62s nothing to judge\n", c.Rule)
			continue
		}
		fmt.Fprintf(tb.Out, "  %-62s %d in %d  %s\n", c.Rule, c.Violations, c.Judged, c.Sample)
	}
	tb.probes.print(tb)
	fmt.Fprintf(tb.Out, "%d changes accepted, %d of unknown end\n", tb.Checker.Changes(), tb.Checker.OpenChanges())
	return broken
}
