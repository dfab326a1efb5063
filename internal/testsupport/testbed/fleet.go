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
	// coreMachines is how many machines have a store and a registry.
	coreMachines = 3
	// wirePort and httpPort are the ports of a fleet with fixed addresses.
	wirePort = 7401
	httpPort = 7400
	// readinessPollInterval bounds how exactly it is known when a fleet was ready.
	readinessPollInterval = 50 * time.Millisecond
)

// Fleet is the daemons of a plan.
type Fleet struct {
	blueprint.Plan
	// Bin is the folder of the programs, Dir that of data and logs.
	Bin, Dir string
	// OtherBin, if set, is the folder of the programs of every other daemon.
	OtherBin string
	// Fixed asks for the same addresses and ports each time, for a person to type;
	// data folders are kept then.
	Fixed bool
	// PlanEvery is how often registries plan the spill-over.
	PlanEvery time.Duration
	// Processes are in the order of their start: stores, registries, proxies, and
	// after them replacements.
	Processes []*Process

	// mu guards Processes, nextCoreIndex, impairedUntil and the last run of each process.
	mu    sync.Mutex
	seeds []string
	// nextCoreIndex is the number, from 0, of the next replacement core machine.
	nextCoreIndex int
	// relay is nil if connections are direct.
	relay *Relay
	// impairedUntil is by HTTP address; see MarkImpaired.
	impairedUntil map[string]time.Time
	// restartLock keeps concurrent steps of a script from starting one process twice.
	restartLock sync.Mutex
}

// port is the given one in a fleet with fixed addresses, or else 0 for any.
func (f *Fleet) port(fixed int) int {
	if f.Fixed {
		return fixed
	}
	return 0
}

// newProcess gives the nth process of a role its name and addresses.
func (f *Fleet) newProcess(role string, n, zone int) (*Process, error) {
	p := &Process{Role: role, Name: fmt.Sprintf("%s-%d", role, n+1), Zone: f.Plan.Zone(zone)}
	p.Data = filepath.Join(f.Dir, p.Name)
	number := roleNumbers[role]
	var err error
	if p.Address, err = loopbackAddress(zone, number, n, f.port(wirePort)); err != nil {
		return nil, err
	}
	if p.HTTP, err = loopbackAddress(zone, number, n, f.port(httpPort)); err != nil {
		return nil, err
	}
	if f.relay == nil {
		return p, nil
	}
	if p.listenAddress, err = f.relayTo(p.Address, zone, number, n); err != nil {
		return nil, err
	}
	p.listenHTTP, err = f.relayTo(p.HTTP, zone, number, n)
	return p, err
}

// relayTo opens an address at the relay, and returns the address on the same IP
// address to which it leads.
func (f *Fleet) relayTo(address string, zone, number, n int) (string, error) {
	listenAddress, err := loopbackAddress(zone, number, n, 0)
	if err != nil {
		return "", err
	}
	return listenAddress, f.relay.Forward(address, listenAddress)
}

// Start lays out the fleet and starts every process. Core machines are in the
// first zone of each region, so that the loss of a region loses one.
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
		// The voter set in an earlier fleet's folder has other addresses.
		if !f.Fixed {
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

// StopAll stops all processes, frozen ones too.
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

// AwaitReady waits until every process that should run is ready. It returns how
// long that took, and an error if it took longer than the time-out.
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

// firstUnready is a process that should run and isn't ready; nil if there is none.
func (f *Fleet) firstUnready(ctx context.Context) *Process {
	for _, p := range f.Processes {
		if !p.Stopped && !p.Ready(ctx) {
			return p
		}
	}
	return nil
}

// Find returns the process of a name; nil if there is none.
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

// zoneIndex is the number of a zone in the plan; 0 if it isn't there.
func (f *Fleet) zoneIndex(zone ids.Name) int {
	for i := range f.Plan.Zones {
		if f.Plan.Zone(i) == zone {
			return i
		}
	}
	return 0
}
