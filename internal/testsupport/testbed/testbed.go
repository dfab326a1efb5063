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
	// defaultPlanInterval is the interval of spill-over planning unless Options sets one.
	defaultPlanInterval = 5 * time.Second
	// startTimeout bounds the time from a fleet's start until it is ready.
	startTimeout = 20 * time.Second
	// configurationTimeout bounds the attempts to apply the initial configuration.
	configurationTimeout    = 10 * time.Second
	configurationRetryPause = 200 * time.Millisecond
	// targetServiceTime is the average service time of a stand-in target.
	targetServiceTime = 20 * time.Millisecond
)

// Testbed is a fleet with its stand-ins and the checker of its guarantees.
type Testbed struct {
	*Fleet
	Checker *checker.Checker
	Targets []*Target
	// Out receives progress messages and the report.
	Out io.Writer

	// clients and operators belong to the most recent RunLoad.
	clients   *Clients
	operators *Operators
	// watcher is nil unless WatchLoad was called.
	watcher atomic.Pointer[loadWatcher]
	probes  livenessProbes
	// replacedTargets is the number of targets replaced so far.
	replacedTargets int
}

// Options configures a testbed.
type Options struct {
	// Plan is a key of blueprint.Plans.
	Plan string
	// Dir is the directory for programs, data and logs.
	Dir string
	// FixedAddresses uses the same addresses in every run, and keeps data directories.
	FixedAddresses bool
	// Out receives progress messages and the report; it must not be nil.
	Out io.Writer
	// Relay routes all connections through a relay, which adds latency between regions.
	// Scripts with network faults require it.
	Relay bool
	// Bin is the directory of the daemons' programs. If it is empty, the programs next to
	// this executable are used, or they are built.
	Bin string
	// OtherBin is the directory of the programs of every second daemon, for a fleet of
	// mixed versions.
	OtherBin string
	// Rate is the load in requests per second; 0 for the plan's.
	Rate float64
	// TargetLevel is the target load of each zone in ms of CPU per second; 0 for the plan's.
	TargetLevel float64
	// PlanEvery is the interval of spill-over planning; 0 for 5 s.
	PlanEvery time.Duration
}

// plan returns the named plan with the overrides from the options.
func (o Options) plan() (blueprint.Plan, error) {
	plan, ok := blueprint.Plans[o.Plan]
	if !ok {
		return plan, errs.New("choose plan", "", "unknown plan %q", o.Plan)
	}
	if o.Rate > 0 {
		plan.Rate = o.Rate
	}
	if o.TargetLevel > 0 {
		plan.TargetLoad = o.TargetLevel
	}
	return plan, nil
}

// Start starts a fleet, waits until it is ready, applies its configuration and starts
// its targets. The caller must call Close.
func Start(ctx context.Context, o Options) (*Testbed, error) {
	plan, err := o.plan()
	if err != nil {
		return nil, err
	}
	if o.FixedAddresses {
		firstZoneOctet = fixedFirstZoneOctet
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	tb := &Testbed{
		Fleet:   &Fleet{Plan: plan, Dir: o.Dir, FixedAddresses: o.FixedAddresses, PlanEvery: cmp.Or(o.PlanEvery, defaultPlanInterval), OtherBin: o.OtherBin},
		Checker: &checker.Checker{RetryAllowance: float64(plan.RetryAllowance())}, Out: o.Out,
	}
	if o.Relay {
		tb.relay = &Relay{Delay: tb.latency}
	}
	if tb.Bin, err = chooseProgramsDir(o.Bin, executableDir(), filepath.Join(o.Dir, "bin"), Build); err != nil {
		return nil, err
	}
	fmt.Fprintf(tb.Out, "using the programs in %s\n", tb.Bin)
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

// prepare waits until the fleet is ready, applies the configuration and starts the targets.
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

// applyConfiguration sends the plan's configuration as one change, and retries until it
// is accepted.
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
			return errs.Wrap(err, "decode change response", "")
		}
	}
	return errs.New("apply configuration", "", "%s", lastResponse)
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

// startTargets starts the plan's targets, distributed over the zones.
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

// newTarget creates the ith target of a pool, which is the nth of the whole fleet.
func (tb *Testbed) newTarget(pool blueprint.Pool, i, n int) (*Target, error) {
	zone := n % tb.Zones
	address, err := loopbackAddress(zone, targetOctet, n, 0)
	if err != nil {
		return nil, err
	}
	t := &Target{
		Instance: pool.Instance(i), Service: pool.Service, Zone: tb.Plan.Zone(n), Address: address,
		Capacity: pool.Capacity, ServiceTime: targetServiceTime, Checker: tb.Checker, Registries: tb.registryAddresses, Delay: tb.standInLatency,
		RouteOf: tb.routeOf, ZoneOf: tb.zoneOf, OnExecution: tb.countExecution,
	}
	if tb.relay != nil {
		t.listenAddress, err = tb.relayTo(address, zone, targetOctet, n)
	}
	return t, err
}

// Close stops all targets and daemons, and closes the relay.
func (tb *Testbed) Close() {
	for _, t := range tb.Targets {
		t.Crash()
	}
	tb.StopAll()
	if tb.relay != nil {
		tb.relay.Close()
	}
}
