package scaletest

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Options are the options of a run over several sizes.
type Options struct {
	Sizes []Size
	// Bin is the folder of the built registry and store.
	Bin string
	// ProxyGroupBinary is the program that runs hollow proxies as its command "crew".
	ProxyGroupBinary string
	// Dir is for data and logs. Each size begins by deleting it.
	Dir string
	// Thrifty starts daemons with incremental target tables, slots by zone and
	// endless leases.
	Thrifty bool
	// ProxiesPerGroup is how many proxies one process has.
	ProxiesPerGroup int
	// PhaseDuration is how long the steady phase lasts, PhaseTimeout how long any
	// other phase, and each change of the configuration, may take.
	PhaseDuration, PhaseTimeout time.Duration
	// AnnounceInterval is how often each target sends a heartbeat.
	AnnounceInterval time.Duration
	// UsageRows is how many routes each proxy's usage report has, at most one a route.
	UsageRows int
	// Changes is how many changes the change phase makes.
	Changes int
	// LoopbackBlock is the second number of the fleet's loopback addresses
	// 127.x.y.z; fleets of one machine must differ in it.
	LoopbackBlock int
	// Progress is called with one line at a time; it must not be nil.
	Progress func(line string)
}

const (
	wirePort = 7401
	httpPort = 7400
	// voterCount is how many stores vote; they are also the seeds.
	voterCount = 3
)

// The third numbers of the loopback addresses. Hollow proxies have those from
// firstProxyOctet, targets those from firstTargetOctet.
const (
	storeOctet       = 1
	registryOctet    = 2
	proxyGroupOctet  = 3
	firstProxyOctet  = 10
	firstTargetOctet = 200
)

// daemonAddress is the address of a core daemon or proxy group by its third
// number, index and port.
func daemonAddress(block, octet, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block, octet, index+1, port)
}

// fleet is the processes of one size.
type fleet struct {
	Options
	Size
	// mu guards the cmd and exited of each process.
	mu        sync.Mutex
	processes []*daemonProcess
}

// newFleet lays out every process of a size; none is started.
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

// coreProcess is the nth store or registry.
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

// proxyGroupProcess is the nth group, with the proxies from first on.
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
