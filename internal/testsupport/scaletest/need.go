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
	// Files is how many descriptors the process with the most of them opens.
	Files uint64
}

// Bytes is all the memory.
func (n Requirements) Bytes() uint64 { return n.ProxyGroups + n.Registries + n.Stores }

// Limits are what the machine gives.
type Limits struct {
	Memory    uint64
	Processes int
	Files     uint64
}

const (
	mib = 1 << 20
	// maxProcesses keeps a fleet to a few hundred processes.
	maxProcesses = 300
	maxProxies   = 20000
	// program is what a process takes that has nothing to do yet.
	program = 24 * mib
	// buffer is what each end of a connection takes.
	buffer = 64 << 10
	// maxConnections is how many ends a proxy was seen to hold at most, while
	// all tell all of a change in the roll; at rest it is a third of that.
	maxConnections = 160
	// Held by each daemon for each member, target and byte of configuration: the roll
	// and its copies, the target table or the stock made of it, the register and its view.
	perMember        = 2 << 10
	perTarget        = 2 << 10
	perConfiguration = 8
	// A registry keeps for each proxy what it was told of each target.
	perTold = 160
	// garbage is how far a heap may outgrow what it holds.
	garbage = 2
)

// RequirementsOf works out what a fleet takes, with some proxies in a process.
func RequirementsOf(s Size, crew int) Requirements {
	configuration := uint64(s.ConfigurationBytes())
	members, targets, proxies, core := uint64(s.Proxies+2*s.Core), uint64(s.Targets), uint64(s.Proxies), uint64(s.Core)
	ends := min(2*members, maxConnections)
	each := members*perMember + targets*perTarget + configuration*perConfiguration
	crews := (s.Proxies + crew - 1) / crew
	n := Requirements{Processes: crews + 2*s.Core}
	n.ProxyGroups = uint64(crews)*program + proxies*(garbage*each+ends*buffer)
	n.Registries = core * (program + garbage*(each+proxies*targets*perTold) + 2*members*buffer)
	// Each write of the register leaves its old and new form, and frames of both.
	n.Stores = core * (program + garbage*(each+4*configuration) + 2*members*buffer)
	n.Files = max(uint64(min(crew, s.Proxies))*(ends+1), 4*members) + 256
	return n
}

// Fits rejects a fleet that the machine has no room for, with the bytes that
// it would need.
func (n Requirements) Fits(s Size, l Limits) error {
	switch {
	case n.Bytes() > l.Memory/2:
		return fmt.Errorf("%s: would need %d bytes (%d MiB: proxies %d, registries %d, stores %d MiB), and half of this machine's memory is %d bytes (%d MiB)",
			s, n.Bytes(), n.Bytes()/mib, n.ProxyGroups/mib, n.Registries/mib, n.Stores/mib, l.Memory/2, l.Memory/2/mib)
	case n.Processes > l.Processes:
		return fmt.Errorf("%s: would need %d processes (and %d bytes), at most %d are started; give each more proxies with --crew", s, n.Processes, n.Bytes(), l.Processes)
	case n.Files > l.Files:
		return fmt.Errorf("%s: would need %d descriptors in one process (and %d bytes), it may open %d; give each fewer proxies with --crew", s, n.Files, n.Bytes(), l.Files)
	}
	return nil
}

// load is the machine's load average over the last minute.
func load() float64 {
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

// Machine gives the limits of this one.
func Machine() (Limits, error) {
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
	l.Files = r.Cur
	return l, nil
}
