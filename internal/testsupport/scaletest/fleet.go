package scaletest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
)

// Options are the options of a run over several sizes.
type Options struct {
	Sizes []Size
	// Bin holds the built registry and store; Crew is the program that runs
	// hollow proxies as its command "crew".
	Bin, ProxyGroupBinary string
	Dir                   string
	Thrifty               bool
	// ProxiesPerGroup is how many proxies one process has.
	ProxiesPerGroup int
	// PhaseDuration is how long the steady phase lasts, Within how long any other may.
	PhaseDuration, PhaseTimeout time.Duration
	AnnounceInterval            time.Duration
	UsageRows                   int
	Changes                     int
	LoopbackBlock               int
	// Progress takes one line of progress at a time.
	Progress func(line string)
}

// daemonProcess is one process of the fleet.
type daemonProcess struct {
	role, name string
	// daemons is how many it stands for.
	daemons     int
	httpAddress string
	program     string
	args        []string
	cmd         *exec.Cmd
	exited      chan struct{}
}

// fleet is the processes of one size.
type fleet struct {
	Options
	Size
	mu        sync.Mutex
	processes []*daemonProcess
}

func coreAddress(block, role, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block, role, index+1, port)
}

// newFleet names every process of a size.
func newFleet(o Options, s Size) *fleet {
	f := &fleet{Options: o, Size: s}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, coreAddress(o.LoopbackBlock, 1, n, wirePort))
	}
	for i, role := range []string{"store", "registry"} {
		for n := range s.Core {
			process := &daemonProcess{role: role, name: fmt.Sprintf("%s-%d", role, n+1), daemons: 1, httpAddress: coreAddress(o.LoopbackBlock, i+1, n, httpPort), program: filepath.Join(o.Bin, role)}
			process.args = []string{
				"--name", process.name, "--address", coreAddress(o.LoopbackBlock, i+1, n, wirePort), "--http", process.httpAddress,
				"--cell", string(s.Zone(n)), "--seeds", strings.Join(seeds, ","),
			}
			if role == "store" {
				process.args = append(process.args, "--bootstrap", "--data", filepath.Join(o.Dir, process.name))
			}
			if o.Thrifty {
				process.args = append(process.args, "--thrifty")
			}
			f.processes = append(f.processes, process)
		}
	}
	for first, n := 0, 0; first < s.Proxies; first, n = first+o.ProxiesPerGroup, n+1 {
		process := &daemonProcess{
			role: "proxy", name: fmt.Sprintf("crew-%d", n+1), daemons: min(o.ProxiesPerGroup, s.Proxies-first),
			httpAddress: coreAddress(o.LoopbackBlock, 3, n, httpPort), program: o.ProxyGroupBinary,
		}
		process.args = []string{
			"crew", "--first", fmt.Sprint(first), "--count", fmt.Sprint(process.daemons), "--cells", fmt.Sprint(s.Zones),
			"--rows", fmt.Sprint(min(o.UsageRows, s.Routes)), "--block", fmt.Sprint(o.LoopbackBlock), "--seeds", strings.Join(seeds, ","), "--http", process.httpAddress,
		}
		if o.Thrifty {
			process.args = append(process.args, "--thrifty")
		}
		f.processes = append(f.processes, process)
	}
	return f
}

// running gives the processes of a role that run.
func (f *fleet) running(role string) []*daemonProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*daemonProcess
	for _, p := range f.processes {
		if p.role == role && p.cmd != nil {
			out = append(out, p)
		}
	}
	return out
}

// pid is that of a process; 0 if it doesn't run.
func (f *fleet) pid(p *daemonProcess) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start runs a process; it ends with this one, whatever happens here.
func (f *fleet) start(p *daemonProcess) error {
	log, err := os.OpenFile(filepath.Join(f.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start", p.name)
	}
	ended := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.exited = cmd, ended
	f.mu.Unlock()
	go func() { _ = cmd.Wait(); log.Close(); close(ended) }()
	return nil
}

// startRole starts what isn't running of a role; all roles if none is named.
func (f *fleet) startRole(role string) error {
	for _, p := range f.processes {
		if f.pid(p) == 0 && (role == "" || p.role == role) {
			if err := f.start(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill ends a process at once.
func (f *fleet) kill(p *daemonProcess) {
	f.mu.Lock()
	cmd, ended := p.cmd, p.exited
	p.cmd = nil
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// killRole ends a role; the whole fleet if none is named.
func (f *fleet) killRole(role string) {
	for _, p := range f.processes {
		if role == "" || p.role == role {
			f.kill(p)
		}
	}
}

// waitUntil asks every so often whether something holds, for so long at most.
func waitUntil(ctx context.Context, timeout, interval time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if condition() {
			return time.Since(start), true
		}
		if time.Since(start) > timeout {
			return timeout, false
		}
		select {
		case <-ctx.Done():
			return time.Since(start), false
		case <-ticker.C:
		}
	}
}
