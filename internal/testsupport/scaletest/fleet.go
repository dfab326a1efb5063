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
	Interval                    time.Duration
	Rows                        int
	Changes                     int
	Block                       int
	// Show takes one line of progress at a time.
	Show func(line string)
}

// daemonProcess is one process of the fleet.
type daemonProcess struct {
	role, name string
	// daemons is how many it stands for.
	daemons int
	http    string
	program string
	args    []string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// fleet is the processes of one size.
type fleet struct {
	Options
	Size
	mu    sync.Mutex
	procs []*daemonProcess
}

func coreAt(block, role, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block, role, n+1, port)
}

// layOut names every process of a size.
func layOut(p Options, s Size) *fleet {
	f := &fleet{Options: p, Size: s}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, coreAt(p.Block, 1, n, wirePort))
	}
	for i, role := range []string{"store", "registry"} {
		for n := range s.Core {
			x := &daemonProcess{role: role, name: fmt.Sprintf("%s-%d", role, n+1), daemons: 1, http: coreAt(p.Block, i+1, n, pagesPort), program: filepath.Join(p.Bin, role)}
			x.args = []string{
				"--name", x.name, "--address", coreAt(p.Block, i+1, n, wirePort), "--http", x.http,
				"--cell", string(s.Zone(n)), "--seeds", strings.Join(seeds, ","),
			}
			if role == "store" {
				x.args = append(x.args, "--bootstrap", "--data", filepath.Join(p.Dir, x.name))
			}
			if p.Thrifty {
				x.args = append(x.args, "--thrifty")
			}
			f.procs = append(f.procs, x)
		}
	}
	for first, n := 0, 0; first < s.Proxies; first, n = first+p.ProxiesPerGroup, n+1 {
		x := &daemonProcess{
			role: "proxy", name: fmt.Sprintf("crew-%d", n+1), daemons: min(p.ProxiesPerGroup, s.Proxies-first),
			http: coreAt(p.Block, 3, n, pagesPort), program: p.ProxyGroupBinary,
		}
		x.args = []string{
			"crew", "--first", fmt.Sprint(first), "--count", fmt.Sprint(x.daemons), "--cells", fmt.Sprint(s.Zones),
			"--rows", fmt.Sprint(min(p.Rows, s.Routes)), "--block", fmt.Sprint(p.Block), "--seeds", strings.Join(seeds, ","), "--http", x.http,
		}
		if p.Thrifty {
			x.args = append(x.args, "--thrifty")
		}
		f.procs = append(f.procs, x)
	}
	return f
}

// of gives the processes of a role that run.
func (f *fleet) of(role string) []*daemonProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*daemonProcess
	for _, p := range f.procs {
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
	p.cmd, p.ended = cmd, ended
	f.mu.Unlock()
	go func() { _ = cmd.Wait(); log.Close(); close(ended) }()
	return nil
}

// startAll starts what isn't running of a role; all roles if none is named.
func (f *fleet) startAll(role string) error {
	for _, p := range f.procs {
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
	cmd, ended := p.cmd, p.ended
	p.cmd = nil
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// killAll ends a role; the whole fleet if none is named.
func (f *fleet) killAll(role string) {
	for _, p := range f.procs {
		if role == "" || p.role == role {
			f.kill(p)
		}
	}
}

// until asks every so often whether something holds, for so long at most.
func until(ctx context.Context, within, every time.Duration, holds func() bool) (time.Duration, bool) {
	from := time.Now()
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		if holds() {
			return time.Since(from), true
		}
		if time.Since(from) > within {
			return within, false
		}
		select {
		case <-ctx.Done():
			return time.Since(from), false
		case <-t.C:
		}
	}
}
