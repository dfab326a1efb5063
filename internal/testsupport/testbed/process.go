package testbed

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

// The roles of daemons; they are also the names of the programs.
const (
	proxyRole    = "proxy"
	registryRole = "registry"
	storeRole    = "store"
)

const (
	// stopTimeout is how long a process may take to exit after SIGTERM, before it
	// gets SIGKILL; the platform gives as long.
	stopTimeout = 3 * time.Second
	// killTimeout is how long the kernel may take to end a killed process.
	killTimeout = 5 * time.Second
	// readinessTimeout bounds one question for readiness.
	readinessTimeout = time.Second
)

// Process is one daemon of the fleet.
type Process struct {
	Role, Name string
	Zone       ids.Name
	// Address is that of the wire protocol, HTTP that of the HTTP server, as
	// others reach them.
	Address, HTTP string
	// Data is the data folder; only stores use it.
	Data string
	// Stopped: it doesn't run now. Replaced: another has its place for good.
	Stopped, Replaced bool

	// listenAddress and listenHTTP are where it listens behind the relay; empty
	// without a relay.
	listenAddress, listenHTTP string
	// cmd is the last run, and exited is closed once that has ended.
	cmd    *exec.Cmd
	exited chan struct{}
}

// arguments is the command line of a process.
func (f *Fleet) arguments(p *Process) []string {
	args := []string{"--name", p.Name, "--address", p.Address, "--http", p.HTTP, "--cell", string(p.Zone), "--seeds", strings.Join(f.seeds, ",")}
	if p.listenAddress != "" {
		args = append(args, "--bind", p.listenAddress, "--http-bind", p.listenHTTP)
	}
	switch p.Role {
	case storeRole:
		args = append(args, "--data", p.Data)
		if slices.Contains(f.seeds, p.Address) {
			args = append(args, "--bootstrap")
		}
	case registryRole:
		args = append(args, "--plan-every", f.PlanEvery.String())
	}
	return args
}

// program is the path of a process's program. In a mixed fleet daemons with an
// even number run the other version.
func (f *Fleet) program(p *Process) string {
	bin := f.Bin
	if f.OtherBin != "" && strings.ContainsAny(p.Name[len(p.Name)-1:], "02468") {
		bin = f.OtherBin
	}
	return filepath.Join(bin, p.Role)
}

// StartProcess starts a process that doesn't run. The kernel ends it if this
// process dies first.
func (f *Fleet) StartProcess(p *Process) error {
	log, err := os.OpenFile(filepath.Join(f.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.program(p), f.arguments(p)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errs.Wrap(err, "start", p.Name)
	}
	exited := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.exited, p.Stopped = cmd, exited, false
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait() // its exit code is in cmd.ProcessState
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to a process, if it was ever started.
func (f *Fleet) Signal(p *Process, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (f *Fleet) Kill(p *Process) {
	f.Signal(p, syscall.SIGKILL)
	p.Stopped = true
	f.awaitExit(p, killTimeout)
}

// Stop ends a process as the platform does: SIGTERM, and SIGKILL if that takes
// too long. It returns how long it took.
func (f *Fleet) Stop(p *Process) time.Duration {
	start := time.Now()
	f.Signal(p, syscall.SIGTERM)
	if !f.awaitExit(p, stopTimeout) {
		f.Kill(p)
	}
	p.Stopped = true
	return time.Since(start)
}

// awaitExit waits until the process has ended; false if it runs on.
func (f *Fleet) awaitExit(p *Process, timeout time.Duration) bool {
	if p.exited == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Ready tells whether the process says that it is ready.
func (p *Process) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.HTTP+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
