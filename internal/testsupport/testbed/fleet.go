package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Process is one daemon of the fleet.
type Process struct {
	Role, Name    string
	Zone          ids.Name
	Address, HTTP string
	Data          string
	cmd           *exec.Cmd
	log           *os.File
	exited        chan struct{}
	// listenAddress and pages are where it listens behind the relay.
	listenAddress, listenHTTP string
	// Lost: not running now. Gone: replaced by another, for good.
	Stopped, Replaced bool
}

// Fleet is the daemons of a plan.
type Fleet struct {
	blueprint.Plan
	Bin, Dir string
	// Other, if set, holds the programs of every other daemon.
	OtherBin string
	// Fixed asks for the same ports each time, for a person to type.
	Fixed bool
	// PlanEvery is how often registries plan the spill.
	PlanEvery     time.Duration
	mu            sync.Mutex
	Processes     []*Process
	seeds         []string
	nextCoreIndex int
	relay         *Relay
	impaired      impairments
	// restartLock keeps deeds from starting one process twice.
	restartLock sync.Mutex
}

func (f *Fleet) port(n int) int {
	if f.Fixed {
		return n
	}
	return 0
}

// newProcess gives a process its addresses. Core machines stand in the first zone of
// each region, so that losing a region loses one.
func (f *Fleet) newProcess(role string, code, n int, zone int) (*Process, error) {
	p := &Process{Role: role, Name: fmt.Sprintf("%s-%d", role, n+1), Zone: f.Plan.Zone(zone)}
	var err error
	if p.Address, err = loopbackAddress(zone, code, n, f.port(7401)); err != nil {
		return nil, err
	}
	if p.HTTP, err = loopbackAddress(zone, code, n, f.port(7400)); err != nil {
		return nil, err
	}
	if f.relay != nil {
		if p.listenAddress, err = f.relayTo(p.Address, zone, code, n); err != nil {
			return nil, err
		}
		p.listenHTTP, err = f.relayTo(p.HTTP, zone, code, n)
	}
	p.Data = filepath.Join(f.Dir, p.Name)
	return p, err
}

// relayTo gives an address of the same machine that another leads to.
func (f *Fleet) relayTo(address string, zone, code, n int) (string, error) {
	at, err := loopbackAddress(zone, code, n, 0)
	if err != nil {
		return "", err
	}
	return at, f.relay.Forward(address, at)
}

// Start lays out the fleet and starts it.
func (f *Fleet) Start() error {
	for n := range 3 {
		p, err := f.newProcess("store", 1, n, n%f.Plan.Zones)
		if err != nil {
			return err
		}
		f.seeds = append(f.seeds, p.Address)
		f.Processes = append(f.Processes, p)
	}
	for n := range 3 {
		p, err := f.newProcess("registry", 2, n, n%f.Plan.Zones)
		if err != nil {
			return err
		}
		f.Processes = append(f.Processes, p)
	}
	for n := range f.Proxies {
		p, err := f.newProcess("proxy", 3, n, n%f.Plan.Zones)
		if err != nil {
			return err
		}
		f.Processes = append(f.Processes, p)
	}
	f.nextCoreIndex = 3
	for _, p := range f.Processes {
		// At new addresses an old folder's voter set leads nowhere.
		if !f.Fixed {
			if err := os.RemoveAll(p.Data); err != nil {
				return err
			}
		}
		if err := f.StartProcess(p); err != nil {
			return err
		}
	}
	return nil
}

// StartProcess starts a process that isn't running.
func (f *Fleet) StartProcess(p *Process) error {
	args := []string{"--name", p.Name, "--address", p.Address, "--http", p.HTTP, "--cell", string(p.Zone), "--seeds", strings.Join(f.seeds, ",")}
	if p.listenAddress != "" {
		args = append(args, "--bind", p.listenAddress, "--http-bind", p.listenHTTP)
	}
	switch p.Role {
	case "store":
		args = append(args, "--data", p.Data)
		if slices.Contains(f.seeds, p.Address) {
			args = append(args, "--bootstrap")
		}
	case "registry":
		args = append(args, "--plan-every", f.PlanEvery.String())
	}
	log, err := os.OpenFile(filepath.Join(f.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	bin := f.Bin
	if f.OtherBin != "" && strings.ContainsAny(p.Name[len(p.Name)-1:], "02468") {
		bin = f.OtherBin
	}
	cmd := exec.Command(filepath.Join(bin, p.Role), args...)
	cmd.Stdout, cmd.Stderr = log, log
	// Should testbed itself be killed, its daemons end with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start", p.Name)
	}
	f.mu.Lock()
	p.cmd, p.log, p.exited, p.Stopped = cmd, log, make(chan struct{}), false
	ended := p.exited
	f.mu.Unlock()
	go func() { _ = cmd.Wait(); log.Close(); close(ended) }()
	return nil
}

// Signal sends a signal to a process of ours.
func (f *Fleet) Signal(p *Process, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends a process at once, and waits until it is gone.
func (f *Fleet) Kill(p *Process) {
	f.Signal(p, syscall.SIGKILL)
	p.Stopped = true
	f.awaitExit(p, 5*time.Second)
}

// Stop ends a process as the platform does: politely, then hard.
func (f *Fleet) Stop(p *Process) time.Duration {
	from := time.Now()
	f.Signal(p, syscall.SIGTERM)
	if !f.awaitExit(p, 3*time.Second) {
		f.Kill(p)
	}
	p.Stopped = true
	return time.Since(from)
}

func (f *Fleet) awaitExit(p *Process, d time.Duration) bool {
	if p.exited == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// StopAll ends the whole fleet.
func (f *Fleet) StopAll() {
	var all sync.WaitGroup
	for _, p := range f.Processes {
		all.Go(func() { f.Signal(p, syscall.SIGCONT); f.Stop(p) })
	}
	all.Wait()
}

// ProcessesOf gives the processes of a role.
func (f *Fleet) ProcessesOf(role string) []*Process {
	var out []*Process
	for _, p := range f.Processes {
		if p.Role == role {
			out = append(out, p)
		}
	}
	return out
}
