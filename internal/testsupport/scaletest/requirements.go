package scaletest

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// errNoMemoryTotal: the kernel's memory information lacks the total.
var errNoMemoryTotal = errors.New("the total is missing")

// Requirements is an estimate of what a fleet takes of its machine.
type Requirements struct {
	// ProxyGroups, Registries and Stores are bytes of memory, each summed over
	// all processes of that role.
	ProxyGroups, Registries, Stores uint64
	Processes                       int
	// Descriptors is how many file descriptors the process with the most opens.
	Descriptors uint64
}

// Bytes is the memory of the whole fleet.
func (r Requirements) Bytes() uint64 { return r.ProxyGroups + r.Registries + r.Stores }

// Limits are what the machine offers.
type Limits struct {
	// Memory is the machine's memory in bytes; a fleet may take half of it.
	Memory    uint64
	Processes int
	// Descriptors is how many file descriptors one process may open.
	Descriptors uint64
}

// The parts of the estimate.
const (
	mib = 1 << 20
	// maxProcesses keeps a fleet to a few hundred processes.
	maxProcesses = 300
	// maxProxies is how many proxies have a loopback address of their own.
	maxProxies = 20000
	// maxCoreMachines is how many core machines have loopback addresses of their own.
	maxCoreMachines = 200
	// idleProcessBytes is the memory of a process that has nothing to do yet.
	idleProcessBytes = 24 * mib
	// connectionBytes is the memory of each end of a connection.
	connectionBytes = 64 << 10
	// maxProxyConnections is the most connections that a proxy was seen to hold,
	// while a change in the membership list spreads; at rest it is a third of that.
	maxProxyConnections = 160
	// bytesPerMember and bytesPerTarget are what each daemon holds for each
	// member (the membership list and its copies) and for each target (the target
	// table or the service states made of it).
	bytesPerMember = 2 << 10
	bytesPerTarget = 2 << 10
	// configurationMemoryFactor is how many bytes each daemon holds for each byte of
	// the configuration: the register and the view made of it.
	configurationMemoryFactor = 8
	// bytesPerPushedTarget is what a registry keeps for each pair of a proxy and
	// a target that it has pushed to that proxy.
	bytesPerPushedTarget = 160
	// heapGrowthFactor is how far a heap may outgrow what it holds before the next
	// garbage collection (GOGC=100 doubles it).
	heapGrowthFactor = 2
	// baseDescriptors cover listeners, logs, databases and the runtime's own.
	baseDescriptors = 256
)

// RequirementsOf estimates what a fleet takes, with so many proxies in a process.
func RequirementsOf(s Size, proxiesPerGroup int) Requirements {
	configuration := uint64(s.ConfigurationBytes())
	members, targets, proxies, core := uint64(s.Proxies+2*s.Core), uint64(s.Targets), uint64(s.Proxies), uint64(s.Core)
	connections := min(2*members, maxProxyConnections)
	daemonBytes := members*bytesPerMember + targets*bytesPerTarget + configuration*configurationMemoryFactor
	groups := (s.Proxies + proxiesPerGroup - 1) / proxiesPerGroup
	r := Requirements{Processes: groups + 2*s.Core}
	r.ProxyGroups = uint64(groups)*idleProcessBytes + proxies*(heapGrowthFactor*daemonBytes+connections*connectionBytes)
	r.Registries = core * (idleProcessBytes + heapGrowthFactor*(daemonBytes+proxies*targets*bytesPerPushedTarget) + 2*members*connectionBytes)
	// Each write of the register holds its old and its new value, and a frame of each.
	r.Stores = core * (idleProcessBytes + heapGrowthFactor*(daemonBytes+4*configuration) + 2*members*connectionBytes)
	r.Descriptors = max(uint64(min(proxiesPerGroup, s.Proxies))*(connections+1), 4*members) + baseDescriptors
	return r
}

// CheckFits returns an error that states the needed bytes if the fleet takes
// more than the limits allow.
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

// MachineLimits reads the limits of this machine.
func MachineLimits() (Limits, error) {
	l := Limits{Processes: maxProcesses}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return l, err
	}
	m, err := fs.Meminfo()
	if err == nil && m.MemTotalBytes == nil {
		err = errNoMemoryTotal
	}
	if err != nil {
		return l, fmt.Errorf("read the machine's memory: %w", err)
	}
	l.Memory = *m.MemTotalBytes
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return l, err
	}
	l.Descriptors = r.Cur
	return l, nil
}

// loadAverage is the machine's load over the last minute; 0 if unknown.
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
