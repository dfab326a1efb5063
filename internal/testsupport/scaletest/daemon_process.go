package scaletest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"dunlinwell/internal/base/errs"
)

// daemonProcess is one process of the fleet: a store, a registry, or a group of
// hollow proxies.
type daemonProcess struct {
	role, name string
	// daemons is how many daemons run in it; 1 unless it is a group of proxies.
	daemons     int
	httpAddress string
	program     string
	args        []string
	// cmd is nil while it doesn't run; exited is closed once it has ended.
	cmd    *exec.Cmd
	exited chan struct{}
}

// running returns the processes of a role that have been started and not killed.
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

// pid is the id of a process; 0 if it doesn't run.
func (f *fleet) pid(p *daemonProcess) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start runs a process, which the kernel ends if this process dies first.
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
		_ = cmd.Wait() // killed processes always end with an error
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startRole starts the processes of a role that don't run; of all roles if role is empty.
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

// kill sends SIGKILL to a process and waits until it has ended.
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

// killRole kills the processes of a role; of all roles if role is empty.
func (f *fleet) killRole(role string) {
	for _, p := range f.processes {
		if role == "" || p.role == role {
			f.kill(p)
		}
	}
}
