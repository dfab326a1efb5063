package scaletest

import (
	"fmt"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Requirements is what a fleet takes of the machine it runs on.
type Requirements struct {
	// Crews, Registries and Stores are bytes of memory, of all such processes.
	ProxyGroups, Registries, Stores uint64
	Processes                       int
	// Descriptors is how many descriptors the process with the most of them opens.
	Descriptors uint64
}

// Bytes is all the memory.
func (r Requirements) Bytes() uint64 { return r.ProxyGroups + r.Registries + r.Stores }

// Limits are what the machine gives.
type Limits struct {
	Memory      uint64
	Processes   int
	Descriptors uint64
}

const (
	mib = 1 << 20
	// maxProcesses keeps a fleet to a few hundred processes.
	maxProcesses = 300
	maxProxies   = 20000
	// idleProcessBytes is what a process takes that has nothing to do yet.
	idleProcessBytes = 24 * mib
	// connectionBytes is what each end of a connection takes.
	connectionBytes = 64 << 10
	// maxProxyConnections is how many ends a proxy was seen to hold at most, while
	// all tell all of a change in the roll; at rest it is a third of that.
	maxProxyConnections = 160
	// Held by each daemon for each member, target and byte of configuration: the roll
	// and its copies, the target table or the stock made of it, the register and its view.
	bytesPerMember        = 2 << 10
	bytesPerTarget        = 2 << 10
	copiesOfConfiguration = 8
	// A registry keeps for each proxy what it was told of each target.
	bytesPerPushedTarget = 160
	// heapOverhead is how far a heap may outgrow what it holds.
	heapOverhead = 2
)

// RequirementsOf works out what a fleet takes, with some proxies in a process.
func RequirementsOf(s Size, proxiesPerGroup int) Requirements {
	configuration := uint64(s.ConfigurationBytes())
	members, targets, proxies, core := uint64(s.Proxies+2*s.Core), uint64(s.Targets), uint64(s.Proxies), uint64(s.Core)
	connections := min(2*members, maxProxyConnections)
	daemonBytes := members*bytesPerMember + targets*bytesPerTarget + configuration*copiesOfConfiguration
	groups := (s.Proxies + proxiesPerGroup - 1) / proxiesPerGroup
	r := Requirements{Processes: groups + 2*s.Core}
	r.ProxyGroups = uint64(groups)*idleProcessBytes + proxies*(heapOverhead*daemonBytes+connections*connectionBytes)
	r.Registries = core * (idleProcessBytes + heapOverhead*(daemonBytes+proxies*targets*bytesPerPushedTarget) + 2*members*connectionBytes)
	// Each write of the register leaves its old and new form, and frames of both.
	r.Stores = core * (idleProcessBytes + heapOverhead*(daemonBytes+4*configuration) + 2*members*connectionBytes)
	r.Descriptors = max(uint64(min(proxiesPerGroup, s.Proxies))*(connections+1), 4*members) + 256
	return r
}

// CheckFits rejects a fleet that the machine has no room for, with the bytes that
// it would need.
func (r Requirements) CheckFits(s Size, l Limits) error {
	switch {
	case r.Bytes() > l.Memory/2:
		return fmt.Errorf("%s: would need %d bytes (%d MiB: proxies %d, registries %d, stores %d MiB), and half of this machine's memory is %d bytes (%d MiB)",
			s, r.Bytes(), r.Bytes()/mib, r.ProxyGroups/mib, r.Registries/mib, r.Stores/mib, l.Memory/2, l.Memory/2/mib)
	case r.Processes > l.Processes:
		return fmt.Errorf("%s: would need %d processes (and %d bytes), at most %d are started; give each more proxies with --crew", s, r.Processes, r.Bytes(), l.Processes)
	case r.Descriptors > l.Descriptors:
		return fmt.Errorf("%s: would need %d descriptors in one process (and %d bytes), it may open %d; give each fewer proxies with --crew", s, r.Descriptors, r.Bytes(), l.Descriptors)
	}
	return nil
}

// loadAverage is the machine's load average over the last minute.
func loadAverage() float64 {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	l, err := fs.LoadAvg()
	if err != nil {
		return 0
	}
	return l.Load1
}

// MachineLimits gives the limits of this one.
func MachineLimits() (Limits, error) {
	l := Limits{Processes: maxProcesses}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return l, err
	}
	m, err := fs.Meminfo()
	if err != nil || m.MemTotalBytes == nil {
		return l, fmt.Errorf("read the machine's memory: %v", err)
	}
	l.Memory = *m.MemTotalBytes
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return l, err
	}
	l.Descriptors = r.Cur
	return l, nil
}
