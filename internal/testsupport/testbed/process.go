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

// Roles of daemons, which are also the names of their programs.
const (
	proxyRole    = "proxy"
	registryRole = "registry"
	storeRole    = "store"
)

const (
	// stopTimeout is the time between SIGTERM and SIGKILL, the same as on the platform.
	stopTimeout = 3 * time.Second
	// killTimeout bounds the wait for a killed process to exit.
	killTimeout = 5 * time.Second
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
)

// Process is one daemon of the fleet.
type Process struct {
	Role, Name string
	Zone       ids.Name
	// Address is the advertised address of the wire protocol, HTTP that of the HTTP server.
	Address, HTTP string
	// Data is the data directory; only stores use it.
	Data string
	// Stopped is true while the process isn't running, Replaced once another process has
	// permanently taken its place.
	Stopped, Replaced bool

	// listenAddress and listenHTTP are the addresses behind the relay on which the
	// process listens; empty without a relay.
	listenAddress, listenHTTP string
	// cmd is the most recent run; exited is closed when it has exited.
	cmd    *exec.Cmd
	exited chan struct{}
}

// arguments returns the command-line arguments of a process.
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

// program returns the path of a process's program. In a fleet of mixed versions, daemons
// with an even number run the other version.
func (f *Fleet) program(p *Process) string {
	bin := f.Bin
	if f.OtherBin != "" && strings.ContainsAny(p.Name[len(p.Name)-1:], "02468") {
		bin = f.OtherBin
	}
	return filepath.Join(bin, p.Role)
}

// StartProcess starts a process that isn't running. The kernel kills it if this process
// dies first.
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
		_ = cmd.Wait() // the exit code is in cmd.ProcessState
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

// Kill sends SIGKILL and waits until the process has exited.
func (f *Fleet) Kill(p *Process) {
	f.Signal(p, syscall.SIGKILL)
	p.Stopped = true
	f.awaitExit(p, killTimeout)
}

// Stop stops a process as the platform does: it sends SIGTERM, and SIGKILL after a
// timeout. It returns the time taken.
func (f *Fleet) Stop(p *Process) time.Duration {
	start := time.Now()
	f.Signal(p, syscall.SIGTERM)
	if !f.awaitExit(p, stopTimeout) {
		f.Kill(p)
	}
	p.Stopped = true
	return time.Since(start)
}

// awaitExit waits until the process has exited, and returns false on timeout.
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

// Ready reports whether the process's readiness check succeeds.
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
