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
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// defaultPlanInterval is that of a registry without --plan-every.
	defaultPlanInterval = 5 * time.Second
	// startTimeout is how long a fleet may take to be ready after its start.
	startTimeout = 20 * time.Second
	// configurationTimeout bounds the attempts of the first change.
	configurationTimeout    = 10 * time.Second
	configurationRetryPause = 200 * time.Millisecond
	// targetWork is how long stand-in targets take for a request on average.
	targetWork = 20 * time.Millisecond
)

// Testbed is a fleet with its stand-ins and the checker that judges it.
type Testbed struct {
	*Fleet
	Checker *checker.Checker
	Targets []*Target
	// Out gets progress and the report.
	Out io.Writer

	// clients and operators are those of the last RunLoad.
	clients   *Clients
	operators *Operators
	// watcher is nil unless the load is watched.
	watcher atomic.Pointer[loadWatcher]
	probes  livenessProbes
	// replacedTargets counts the targets that replaced another.
	replacedTargets int
}

// Options are the options of a testbed.
type Options struct {
	// Plan is the name of one of blueprint.Plans.
	Plan string
	// Dir is the folder for programs, data and logs.
	Dir string
	// Fixed asks for the same addresses each time, and keeps data folders.
	Fixed bool
	// Out gets progress and the report; it must not be nil.
	Out io.Writer
	// Relay passes all connections through a relay, for delays between regions and
	// partitions. Scripts with faults of the network need it.
	Relay bool
	// Bin is the folder of the daemons' programs. If empty, they are those beside
	// this program, or are built.
	Bin string
	// OtherBin is that of every other daemon, for a fleet of two versions.
	OtherBin string
	// Rate is in requests per second; 0 for the plan's.
	Rate float64
	// TargetLevel is each zone's comfortable level in ms of CPU per second; 0 for the plan's.
	TargetLevel float64
	// PlanEvery is how often the spill-over is planned; 0 for 5 s.
	PlanEvery time.Duration
}

// plan is the plan with the options that replace parts of it.
func (o Options) plan() (blueprint.Plan, error) {
	plan, ok := blueprint.Plans[o.Plan]
	if !ok {
		return plan, errs.New("choose plan", "", "there is no plan %q", o.Plan)
	}
	if o.Rate > 0 {
		plan.Rate = o.Rate
	}
	if o.TargetLevel > 0 {
		plan.Target = o.TargetLevel
	}
	return plan, nil
}

// Start starts a fleet, waits until it is ready, sets its configuration and starts
// its targets. The caller must call Close.
func Start(ctx context.Context, o Options) (*Testbed, error) {
	plan, err := o.plan()
	if err != nil {
		return nil, err
	}
	if o.Fixed {
		loopbackBlock = fixedLoopbackBlock
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	tb := &Testbed{
		Fleet:   &Fleet{Plan: plan, Dir: o.Dir, Fixed: o.Fixed, PlanEvery: cmp.Or(o.PlanEvery, defaultPlanInterval), OtherBin: o.OtherBin},
		Checker: &checker.Checker{RetryAllowance: float64(plan.RetryAllowance())}, Out: o.Out,
	}
	if o.Relay {
		tb.relay = &Relay{Delay: tb.latency}
	}
	if tb.Bin, err = chooseBinaries(o.Bin, ownFolder(), filepath.Join(o.Dir, "bin"), Build); err != nil {
		return nil, err
	}
	fmt.Fprintf(tb.Out, "daemons of %s\n", tb.Bin)
	if err := tb.Start(); err != nil {
		tb.StopAll()
		return nil, err
	}
	if err := tb.prepare(ctx); err != nil {
		tb.Close()
		return nil, err
	}
	return tb, nil
}

// prepare makes a started fleet ready for load.
func (tb *Testbed) prepare(ctx context.Context) error {
	elapsed, err := tb.AwaitReady(ctx, startTimeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(tb.Out, "fleet of %d daemons ready after %s\n", len(tb.Processes), elapsed.Round(time.Millisecond))
	if err := tb.applyConfiguration(ctx); err != nil {
		return err
	}
	return tb.startTargets()
}

// applyConfiguration sends the plan's configuration as one change until it is accepted.
func (tb *Testbed) applyConfiguration(ctx context.Context) error {
	change := tb.InitialChange()
	lastResponse := ""
	id := tb.Checker.ChangeSent(change, time.Now())
	for deadline := time.Now().Add(configurationTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(configurationRetryPause) {
		res, err := http.Post("http://"+tb.ProcessesOf(registryRole)[0].HTTP+"/v1/change", "application/json", bytes.NewReader(change))
		if err != nil {
			lastResponse = err.Error()
			continue
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		lastResponse = string(body)
		if res.StatusCode == http.StatusOK {
			var accepted changeResponse
			err := json.Unmarshal(body, &accepted)
			tb.Checker.ChangeAccepted(id, accepted.Revision, time.Now())
			return errs.Wrap(err, "read answer to policy", "")
		}
	}
	return errs.New("set policy", "", "%s", lastResponse)
}

// registryAddresses returns the HTTP addresses of the registries in random order.
func (tb *Testbed) registryAddresses() []string {
	var addresses []string
	for _, p := range tb.snapshot() {
		if p.Role == registryRole && !p.Replaced {
			addresses = append(addresses, p.HTTP)
		}
	}
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
	return addresses
}

// startTargets starts the plan's targets, spread over the zones.
func (tb *Testbed) startTargets() error {
	n := 0
	for _, pool := range tb.Pools {
		for i := range pool.Targets {
			t, err := tb.newTarget(pool, i, n)
			if err != nil {
				return err
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

// newTarget makes the ith target of a pool, which is the nth of all.
func (tb *Testbed) newTarget(pool blueprint.Pool, i, n int) (*Target, error) {
	zone := n % tb.Zones
	address, err := loopbackAddress(zone, targetNumber, n, 0)
	if err != nil {
		return nil, err
	}
	t := &Target{
		Instance: pool.Instance(i), Service: pool.Service, Zone: tb.Plan.Zone(n), Address: address,
		Capacity: pool.Capacity, Work: targetWork, Checker: tb.Checker, Registries: tb.registryAddresses, Delay: tb.standInLatency,
		RouteOf: tb.routeOf, ZoneOf: tb.zoneOf, OnExecution: tb.countExecution,
	}
	if tb.relay != nil {
		t.listenAddress, err = tb.relayTo(address, zone, targetNumber, n)
	}
	return t, err
}

// Close ends all targets, daemons and connections.
func (tb *Testbed) Close() {
	for _, t := range tb.Targets {
		t.Crash()
	}
	tb.StopAll()
	if tb.relay != nil {
		tb.relay.Close()
	}
}
