package scaletest

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// errNoMemoryTotal is returned if /proc/meminfo lacks MemTotal.
var errNoMemoryTotal = errors.New("MemTotal is missing")

// Requirements are the estimated resources that a fleet needs.
type Requirements struct {
	// ProxyGroups, Registries and Stores are the total memory of each role's processes in bytes.
	ProxyGroups, Registries, Stores uint64
	Processes                       int
	// Descriptors is the maximum number of file descriptors that one process needs.
	Descriptors uint64
}

// Bytes returns the memory of the whole fleet.
func (r Requirements) Bytes() uint64 { return r.ProxyGroups + r.Registries + r.Stores }

// Limits are the resources of the machine.
type Limits struct {
	// Memory is the machine's memory in bytes. A fleet may use half of it.
	Memory    uint64
	Processes int
	// Descriptors is the maximum number of file descriptors of one process.
	Descriptors uint64
}

// Limits and parameters of the estimate.
const (
	mib = 1 << 20
	// maxProcesses is the maximum number of processes of a fleet.
	maxProcesses = 300
	// maxProxies is the number of proxies that have distinct loopback addresses.
	maxProxies = 20000
	// maxCoreMachines is the number of core machines that have distinct loopback addresses.
	maxCoreMachines = 200
	// idleProcessBytes is the memory of an idle process.
	idleProcessBytes = 24 * mib
	// connectionBytes is the memory of one end of a connection.
	connectionBytes = 64 << 10
	// maxProxyConnections is the maximum number of connections of a proxy, reached while a change
	// of the membership list is gossiped. In the steady state, a proxy has a third of that.
	maxProxyConnections = 160
	// bytesPerMember and bytesPerTarget are the memory of each daemon per member (the membership
	// list and its copies) and per target (the target table or the service states built from it).
	bytesPerMember = 2 << 10
	bytesPerTarget = 2 << 10
	// configurationMemoryFactor is the memory of each daemon per byte of the stored
	// configuration, which includes the views built from it.
	configurationMemoryFactor = 8
	// bytesPerPushedTarget is the memory of a registry per pair of a proxy and a target that was
	// pushed to it.
	bytesPerPushedTarget = 160
	// heapGrowthFactor is the ratio of the heap size to the live heap before a garbage collection
	// at GOGC=100.
	heapGrowthFactor = 2
	// baseDescriptors covers listeners, logs, databases and the Go runtime.
	baseDescriptors = 256
)

// RequirementsOf estimates the resources that a fleet needs with groups of proxiesPerGroup proxies.
func RequirementsOf(s Size, proxiesPerGroup int) Requirements {
	configuration := uint64(s.ConfigurationBytes())
	members, targets, proxies, core := uint64(s.Proxies+2*s.Core), uint64(s.Targets), uint64(s.Proxies), uint64(s.Core)
	connections := min(2*members, maxProxyConnections)
	daemonBytes := members*bytesPerMember + targets*bytesPerTarget + configuration*configurationMemoryFactor
	groups := (s.Proxies + proxiesPerGroup - 1) / proxiesPerGroup
	r := Requirements{Processes: groups + 2*s.Core}
	r.ProxyGroups = uint64(groups)*idleProcessBytes + proxies*(heapGrowthFactor*daemonBytes+connections*connectionBytes)
	r.Registries = core * (idleProcessBytes + heapGrowthFactor*(daemonBytes+proxies*targets*bytesPerPushedTarget) + 2*members*connectionBytes)
	// A write of the configuration needs the old and the new value, and a frame of each.
	r.Stores = core * (idleProcessBytes + heapGrowthFactor*(daemonBytes+4*configuration) + 2*members*connectionBytes)
	r.Descriptors = max(uint64(min(proxiesPerGroup, s.Proxies))*(connections+1), 4*members) + baseDescriptors
	return r
}

// CheckFits returns an error that includes the required bytes if the fleet exceeds the limits.
func (r Requirements) CheckFits(s Size, l Limits) error {
	switch {
	case r.Bytes() > l.Memory/2:
		return fmt.Errorf("%s: would need %d bytes (%d MiB: proxies %d, registries %d, stores %d MiB), more than half of this machine's memory, %d bytes (%d MiB)",
			s, r.Bytes(), r.Bytes()/mib, r.ProxyGroups/mib, r.Registries/mib, r.Stores/mib, l.Memory/2, l.Memory/2/mib)
	case r.Processes > l.Processes:
		return fmt.Errorf("%s: would need %d processes (and %d bytes), more than the limit of %d; increase the proxies per process with --crew", s, r.Processes, r.Bytes(), l.Processes)
	case r.Descriptors > l.Descriptors:
		return fmt.Errorf("%s: would need %d file descriptors in one process (and %d bytes), more than the limit of %d; reduce the proxies per process with --crew", s, r.Descriptors, r.Bytes(), l.Descriptors)
	}
	return nil
}

// MachineLimits returns the limits of this machine.
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
		return l, fmt.Errorf("read /proc/meminfo: %w", err)
	}
	l.Memory = *m.MemTotalBytes
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return l, err
	}
	l.Descriptors = r.Cur
	return l, nil
}

// loadAverage returns the load average of the machine over one minute, or 0 if it is unknown.
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
