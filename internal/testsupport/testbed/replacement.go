package testbed

import (
	"os"
	"strings"

	"dunlinwell/internal/base/errs"
)

// A core machine has a store and a registry of the same number, which are lost
// together; a replacement has both, with empty disks and at new addresses.

// MachineProcesses returns the process of a name, or both processes of a core
// machine such as "core-2".
func (f *Fleet) MachineProcesses(name string) []*Process {
	var out []*Process
	number, isCore := strings.CutPrefix(name, "core-")
	for _, p := range f.snapshot() {
		if p.Name == name || isCore && (p.Name == storeRole+"-"+number || p.Name == registryRole+"-"+number) {
			out = append(out, p)
		}
	}
	return out
}

// ReplaceStore loses a store for good, and starts a replacement with an empty disk.
// The registry of its machine runs on.
func (f *Fleet) ReplaceStore(lost *Process) (*Process, error) {
	p, err := f.replaceProcess(lost)
	f.useCoreIndex()
	return p, err
}

// ReplaceMachine loses a core machine for good, and starts a replacement.
func (f *Fleet) ReplaceMachine(name string) error {
	lost := f.MachineProcesses(name)
	if len(lost) != 2 {
		return errs.New("swap machine", name, "it is not a core machine that runs")
	}
	for _, p := range lost {
		f.Kill(p)
	}
	for _, p := range lost {
		if _, err := f.replaceProcess(p); err != nil {
			return err
		}
	}
	f.useCoreIndex()
	return nil
}

// replaceProcess starts a replacement of the same role and zone, with the next
// core index, which the caller then uses up.
func (f *Fleet) replaceProcess(lost *Process) (*Process, error) {
	f.Kill(lost)
	lost.Replaced = true
	if err := os.RemoveAll(lost.Data); err != nil {
		return nil, errs.Wrap(err, "lose data folder", lost.Name)
	}
	f.mu.Lock()
	n := f.nextCoreIndex
	f.mu.Unlock()
	p, err := f.newProcess(lost.Role, n, f.zoneIndex(lost.Zone))
	if err != nil {
		return nil, err
	}
	// A folder of that name may be left from an earlier run.
	if err := os.RemoveAll(p.Data); err != nil {
		return nil, errs.Wrap(err, "make blank", p.Name)
	}
	f.mu.Lock()
	f.Processes = append(f.Processes, p)
	f.mu.Unlock()
	return p, f.StartProcess(p)
}

func (f *Fleet) useCoreIndex() {
	f.mu.Lock()
	f.nextCoreIndex++
	f.mu.Unlock()
}
