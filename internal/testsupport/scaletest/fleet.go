package scaletest

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Options configures a run over several sizes.
type Options struct {
	Sizes []Size
	// Bin is the folder of the registry and store programs.
	Bin string
	// ProxyGroupBinary is the program whose command "crew" runs a group of simulated proxies.
	ProxyGroupBinary string
	// Dir is the folder of data and logs. It is deleted at the start of each size.
	Dir string
	// Thrifty runs daemons with deltas of the target table, slots shared by zone and unlimited
	// leases.
	Thrifty bool
	// ProxiesPerGroup is the maximum number of proxies in one process.
	ProxiesPerGroup int
	// SteadyPhaseDuration is the duration of the steady phase. PhaseTimeout limits each wait of the
	// other phases, and each change of the configuration.
	SteadyPhaseDuration, PhaseTimeout time.Duration
	// HeartbeatInterval is the interval between heartbeats of each target.
	HeartbeatInterval time.Duration
	// UsageRows is the number of routes in each proxy's usage report, limited to the routes that
	// exist.
	UsageRows int
	// Changes is the number of configuration changes in the change phase.
	Changes int
	// LoopbackBlock is the second octet of the fleet's loopback addresses. Fleets on one machine
	// must use different blocks.
	LoopbackBlock int
	// Progress receives progress messages of one line each. It must not be nil.
	Progress func(line string)
}

const (
	wirePort = 7401
	httpPort = 7400
	// voterCount is the number of voting stores, which are also the seeds.
	voterCount = 3
)

// The third octets of the loopback addresses. Simulated proxies use those from firstProxyOctet on,
// targets those from firstTargetOctet on.
const (
	storeOctet       = 1
	registryOctet    = 2
	proxyGroupOctet  = 3
	firstProxyOctet  = 10
	firstTargetOctet = 200
)

// daemonAddress returns the address of a core daemon or a proxy group.
func daemonAddress(block, octet, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block, octet, index+1, port)
}

// fleet is the set of processes of one size.
type fleet struct {
	Options
	Size
	// mu guards the cmd and exited of each process.
	mu        sync.Mutex
	processes []*daemonProcess
}

// newFleet returns a fleet of a size without starting its processes.
func newFleet(o Options, s Size) *fleet {
	f := &fleet{Options: o, Size: s}
	var seeds []string
	for n := range voterCount {
		seeds = append(seeds, daemonAddress(o.LoopbackBlock, storeOctet, n, wirePort))
	}
	seedList := strings.Join(seeds, ",")
	for n := range s.Core {
		p := f.coreProcess(storeRole, storeOctet, n, seedList)
		p.args = append(p.args, "--bootstrap", "--data", filepath.Join(o.Dir, p.name))
		f.add(p)
	}
	for n := range s.Core {
		f.add(f.coreProcess(registryRole, registryOctet, n, seedList))
	}
	for first, n := 0, 0; first < s.Proxies; first, n = first+o.ProxiesPerGroup, n+1 {
		f.add(f.proxyGroupProcess(first, n, seedList))
	}
	return f
}

func (f *fleet) add(p *daemonProcess) {
	if f.Thrifty {
		p.args = append(p.args, "--thrifty")
	}
	f.processes = append(f.processes, p)
}

// coreProcess returns the nth store or registry.
func (f *fleet) coreProcess(role string, octet, n int, seeds string) *daemonProcess {
	p := &daemonProcess{
		role: role, name: fmt.Sprintf("%s-%d", role, n+1), daemons: 1,
		httpAddress: daemonAddress(f.LoopbackBlock, octet, n, httpPort), program: filepath.Join(f.Bin, role),
	}
	p.args = []string{
		"--name", p.name, "--address", daemonAddress(f.LoopbackBlock, octet, n, wirePort), "--http", p.httpAddress,
		"--cell", string(f.Zone(n)), "--seeds", seeds,
	}
	return p
}

// proxyGroupProcess returns the nth proxy group, whose first proxy has index first.
func (f *fleet) proxyGroupProcess(first, n int, seeds string) *daemonProcess {
	p := &daemonProcess{
		role: proxyRole, name: fmt.Sprintf("crew-%d", n+1), daemons: min(f.ProxiesPerGroup, f.Proxies-first),
		httpAddress: daemonAddress(f.LoopbackBlock, proxyGroupOctet, n, httpPort), program: f.ProxyGroupBinary,
	}
	p.args = []string{
		"crew", "--first", fmt.Sprint(first), "--count", fmt.Sprint(p.daemons), "--cells", fmt.Sprint(f.Zones),
		"--rows", fmt.Sprint(min(f.UsageRows, f.Routes)), "--block", fmt.Sprint(f.LoopbackBlock), "--seeds", seeds, "--http", p.httpAddress,
	}
	return p
}
