package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

const (
	// coreMachines is the number of machines with a store and a registry.
	coreMachines = 3
	// wirePort and httpPort are the ports of a fleet with fixed addresses.
	wirePort = 7401
	httpPort = 7400
	// readinessPollInterval is the resolution of the times that AwaitReady returns.
	readinessPollInterval = 50 * time.Millisecond
)

// Fleet is the set of daemons of a plan.
type Fleet struct {
	blueprint.Plan
	// Bin is the directory of the programs, Dir that of data and logs.
	Bin, Dir string
	// OtherBin, if set, is the directory of the programs of every second daemon.
	OtherBin string
	// FixedAddresses uses the same addresses and ports in every run, for interactive use, and
	// keeps data directories.
	FixedAddresses bool
	// PlanEvery is the interval at which registries plan the spill-over.
	PlanEvery time.Duration
	// Processes is in start order: stores, registries, proxies, then replacements.
	Processes []*Process

	// mu guards Processes, nextCoreIndex, impairedUntil, and the current run of each process.
	mu    sync.Mutex
	seeds []string
	// nextCoreIndex is the zero-based index of the next replacement core machine.
	nextCoreIndex int
	// relay is nil if connections are direct.
	relay *Relay
	// impairedUntil is keyed by HTTP address; see MarkImpaired.
	impairedUntil map[string]time.Time
	// restartLock prevents concurrent steps of a script from starting a process twice.
	restartLock sync.Mutex
}

// listenPort returns the given port in a fleet with fixed addresses, or else 0 for any free port.
func (f *Fleet) listenPort(fixed int) int {
	if f.FixedAddresses {
		return fixed
	}
	return 0
}

// newProcess creates the nth process of a role with its name and addresses, and doesn't
// start it.
func (f *Fleet) newProcess(role string, n, zone int) (*Process, error) {
	p := &Process{Role: role, Name: fmt.Sprintf("%s-%d", role, n+1), Zone: f.Plan.Zone(zone)}
	p.Data = filepath.Join(f.Dir, p.Name)
	thirdOctet := roleOctets[role]
	var err error
	if p.Address, err = loopbackAddress(zone, thirdOctet, n, f.listenPort(wirePort)); err != nil {
		return nil, err
	}
	if p.HTTP, err = loopbackAddress(zone, thirdOctet, n, f.listenPort(httpPort)); err != nil {
		return nil, err
	}
	if f.relay == nil {
		return p, nil
	}
	if p.listenAddress, err = f.relayTo(p.Address, zone, thirdOctet, n); err != nil {
		return nil, err
	}
	p.listenHTTP, err = f.relayTo(p.HTTP, zone, thirdOctet, n)
	return p, err
}

// relayTo makes the relay listen on an address. It returns the address, with the same
// IP address and another port, to which the relay forwards.
func (f *Fleet) relayTo(address string, zone, thirdOctet, n int) (string, error) {
	listenAddress, err := loopbackAddress(zone, thirdOctet, n, 0)
	if err != nil {
		return "", err
	}
	return listenAddress, f.relay.Forward(address, listenAddress)
}

// Start creates and starts every process. Core machines are in the first zone of
// each region, so that the loss of a region takes down only one of them.
func (f *Fleet) Start() error {
	for _, role := range []struct {
		name  string
		count int
	}{{storeRole, coreMachines}, {registryRole, coreMachines}, {proxyRole, f.Proxies}} {
		for n := range role.count {
			p, err := f.newProcess(role.name, n, n%f.Plan.Zones)
			if err != nil {
				return err
			}
			if role.name == storeRole {
				f.seeds = append(f.seeds, p.Address)
			}
			f.Processes = append(f.Processes, p)
		}
	}
	f.nextCoreIndex = coreMachines
	for _, p := range f.Processes {
		// The voter set stored by an earlier run has other addresses.
		if !f.FixedAddresses {
			if err := os.RemoveAll(p.Data); err != nil {
				return err
			}
		}
		if err := f.StartProcess(p); err != nil {
			return err
		}
	}
	return nil
}

// StopAll stops all processes, including frozen ones.
func (f *Fleet) StopAll() {
	var stops sync.WaitGroup
	for _, p := range f.Processes {
		stops.Go(func() {
			f.Signal(p, syscall.SIGCONT)
			f.Stop(p)
		})
	}
	stops.Wait()
}

// AwaitReady waits until every process that isn't stopped is ready. It returns the time
// waited, and an error if the timeout expired.
func (f *Fleet) AwaitReady(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		unready := f.firstUnready(ctx)
		if unready == nil {
			return time.Since(start), nil
		}
		if time.Since(start) > timeout || ctx.Err() != nil {
			return time.Since(start), errs.New("await fleet", unready.Name, "not ready within %s", timeout)
		}
		time.Sleep(readinessPollInterval)
	}
}

// firstUnready returns the first process that is neither stopped nor ready; nil if there
// is none.
func (f *Fleet) firstUnready(ctx context.Context) *Process {
	for _, p := range f.Processes {
		if !p.Stopped && !p.Ready(ctx) {
			return p
		}
	}
	return nil
}

// Find returns the process with the given name; nil if there is none.
func (f *Fleet) Find(name string) *Process {
	for _, p := range f.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// ProcessesOf returns the processes of a role.
func (f *Fleet) ProcessesOf(role string) []*Process {
	var out []*Process
	for _, p := range f.Processes {
		if p.Role == role {
			out = append(out, p)
		}
	}
	return out
}

// snapshot returns a copy of the list of processes.
func (f *Fleet) snapshot() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process{}, f.Processes...)
}

// zoneIndex returns the index of a zone in the plan; 0 for an unknown zone.
func (f *Fleet) zoneIndex(zone ids.Name) int {
	for i := range f.Plan.Zones {
		if f.Plan.Zone(i) == zone {
			return i
		}
	}
	return 0
}
