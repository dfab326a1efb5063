package testbed

import (
	"os"
	"strings"
	"time"

	"dunlinwell/internal/base/errs"
)

// A core machine is one thing: its store and its registry come and go
// together, and whoever replaces it puts up both, blank, at new addresses.

// MachineProcesses gives the processes that a name stands for.
func (f *Fleet) MachineProcesses(name string) []*Process {
	var out []*Process
	n, core := strings.CutPrefix(name, "core-")
	for _, p := range f.snapshot() {
		if p.Name == name || core && (p.Name == "store-"+n || p.Name == "registry-"+n) {
			out = append(out, p)
		}
	}
	return out
}

// snapshot gives the processes as they stand.
func (f *Fleet) snapshot() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process{}, f.Processes...)
}

// replaceProcess puts up a blank process of the same role and zone at a new address.
func (f *Fleet) replaceProcess(lost *Process) (*Process, error) {
	f.Kill(lost)
	lost.Replaced = true
	if err := os.RemoveAll(lost.Data); err != nil {
		return nil, errs.Wrap(err, "lose data folder", lost.Name)
	}
	zone := 0
	for n := range f.Plan.Zones {
		if f.Plan.Zone(n) == lost.Zone {
			zone = n
		}
	}
	code := 1
	if lost.Role == "registry" {
		code = 2
	}
	f.mu.Lock()
	n := f.nextCoreIndex
	f.mu.Unlock()
	p, err := f.newProcess(lost.Role, code, n, zone)
	if err != nil {
		return nil, err
	}
	// Blank: a folder of that name may be left from an earlier testbed.
	if err := os.RemoveAll(p.Data); err != nil {
		return nil, errs.Wrap(err, "make blank", p.Name)
	}
	f.mu.Lock()
	f.Processes = append(f.Processes, p)
	f.mu.Unlock()
	return p, f.StartProcess(p)
}

// ReplaceStore replaces a lost store alone, its machine's registry goes on.
func (f *Fleet) ReplaceStore(lost *Process) (*Process, error) {
	p, err := f.replaceProcess(lost)
	f.mu.Lock()
	f.nextCoreIndex++
	f.mu.Unlock()
	return p, err
}

// ReplaceMachine loses a core machine for good, and puts up a blank one.
func (f *Fleet) ReplaceMachine(name string) error {
	list := f.MachineProcesses(name)
	if len(list) != 2 {
		return errs.New("swap machine", name, "it is not a core machine that runs")
	}
	for _, p := range list {
		f.Kill(p)
	}
	for _, p := range list {
		if _, err := f.replaceProcess(p); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.nextCoreIndex++
	f.mu.Unlock()
	return nil
}

// impairments remembers whose connections a fault excuses, and until when.
type impairments map[string]time.Time

// MarkImpaired notes that a fault touches a process until some time after it ended.
func (f *Fleet) MarkImpaired(p *Process, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.impaired == nil {
		f.impaired = impairments{}
	}
	if until.After(f.impaired[p.HTTP]) {
		f.impaired[p.HTTP] = until
	}
}

// IsImpaired tells whether a fault explains a connection to these pages that ended.
func (f *Fleet) IsImpaired(http string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Before(f.impaired[http])
}
