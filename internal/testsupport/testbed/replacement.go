package testbed

import (
	"os"
	"strings"

	"dunlinwell/internal/base/errs"
)

// A core machine runs a store and a registry of the same number, which fail together.
// Its replacement runs both, with empty disks and at new addresses.

// MachineProcesses returns the process with the given name, or both processes of a core
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

// ReplaceStore kills a store, deletes its data, and starts a replacement with an empty
// disk. The registry on the same machine keeps running.
func (f *Fleet) ReplaceStore(lost *Process) (*Process, error) {
	p, err := f.replaceProcess(lost)
	f.advanceCoreIndex()
	return p, err
}

// ReplaceMachine kills both processes of a core machine, deletes their data, and starts
// a replacement.
func (f *Fleet) ReplaceMachine(name string) error {
	lost := f.MachineProcesses(name)
	if len(lost) != 2 {
		return errs.New("replace machine", name, "not a running core machine")
	}
	for _, p := range lost {
		f.Kill(p)
	}
	for _, p := range lost {
		if _, err := f.replaceProcess(p); err != nil {
			return err
		}
	}
	f.advanceCoreIndex()
	return nil
}

// replaceProcess starts a replacement of the same role and zone at nextCoreIndex, which
// the caller must then advance.
func (f *Fleet) replaceProcess(lost *Process) (*Process, error) {
	f.Kill(lost)
	lost.Replaced = true
	if err := os.RemoveAll(lost.Data); err != nil {
		return nil, errs.Wrap(err, "delete data directory", lost.Name)
	}
	f.mu.Lock()
	n := f.nextCoreIndex
	f.mu.Unlock()
	p, err := f.newProcess(lost.Role, n, f.zoneIndex(lost.Zone))
	if err != nil {
		return nil, err
	}
	// An earlier run may have left a directory of the same name.
	if err := os.RemoveAll(p.Data); err != nil {
		return nil, errs.Wrap(err, "delete old data directory", p.Name)
	}
	f.mu.Lock()
	f.Processes = append(f.Processes, p)
	f.mu.Unlock()
	return p, f.StartProcess(p)
}

func (f *Fleet) advanceCoreIndex() {
	f.mu.Lock()
	f.nextCoreIndex++
	f.mu.Unlock()
}
