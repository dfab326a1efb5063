package scaletest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"dunlinwell/internal/base/errs"
)

// daemonProcess is one process of the fleet: a store, a registry or a group of simulated proxies.
type daemonProcess struct {
	role, name string
	// daemons is the number of daemons in the process; 1 unless it is a group of proxies.
	daemons     int
	httpAddress string
	program     string
	args        []string
	// cmd is nil while the process isn't running. exited is closed after the process has exited.
	cmd    *exec.Cmd
	exited chan struct{}
}

// running returns the processes of a role that were started and not killed.
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

// pid returns the ID of a process, or 0 if it isn't running.
func (f *fleet) pid(p *daemonProcess) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start starts a process, which the kernel kills if this process exits first.
func (f *fleet) start(p *daemonProcess) error {
	log, err := os.OpenFile(filepath.Join(f.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errs.Wrap(err, "start", p.name)
	}
	exited := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.exited = cmd, exited
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait() // Wait returns an error for every killed process
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startRole starts the processes of a role that aren't running. An empty role means all roles.
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

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(p *daemonProcess) {
	f.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// killRole kills the processes of a role. An empty role means all roles.
func (f *fleet) killRole(role string) {
	for _, p := range f.processes {
		if role == "" || p.role == role {
			f.kill(p)
		}
	}
}
