package testbed

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxStopTime is how long a daemon may take to exit after SIGTERM: the platform
// sends SIGKILL at 3 s.
const maxStopTime = 2500 * time.Millisecond

// faultProcesses kills, stops or freezes processes, and restores them.
func (tb *Testbed) faultProcesses(step Step, processes []*Process, hold func()) {
	tb.markAllImpaired(processes, step)
	var faults sync.WaitGroup
	for _, p := range processes {
		faults.Go(func() {
			switch step.Action {
			case actionFreeze:
				tb.Signal(p, syscall.SIGSTOP)
			case actionKill:
				tb.Kill(p)
			default:
				if elapsed := tb.Stop(p); elapsed > maxStopTime {
					tb.Checker.Violation("%s took %s to stop", p.Name, elapsed)
				}
			}
		})
	}
	faults.Wait()
	hold()
	for _, p := range processes {
		if step.Action == actionFreeze {
			tb.Signal(p, syscall.SIGCONT)
		} else {
			tb.restart(p)
		}
	}
}

// loseRole kills all daemons of a role at once, and starts them again.
func (tb *Testbed) loseRole(step Step, hold func()) {
	tb.powerOff(tb.runningProcesses(func(p *Process) bool { return p.Role == step.Subject }), nil, step, hold)
}

// loseZones kills all daemons and targets of a zone or region at once, and starts
// them again.
func (tb *Testbed) loseZones(step Step, hold func()) {
	zones := zonesOf(tb.Plan, step.Subject)
	processes := tb.runningProcesses(func(p *Process) bool { return slices.Contains(zones, p.Zone) })
	var targets []*Target
	for _, t := range tb.Targets {
		if slices.Contains(zones, t.Zone) {
			targets = append(targets, t)
		}
	}
	tb.powerOff(processes, targets, step, hold)
}

// runningProcesses returns the processes that should run and match.
func (tb *Testbed) runningProcesses(matches func(*Process) bool) []*Process {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	var out []*Process
	for _, p := range tb.snapshot() {
		if matches(p) && !p.Replaced && !p.Stopped {
			out = append(out, p)
		}
	}
	return out
}

// powerOff ends processes and targets at once, and starts them again.
func (tb *Testbed) powerOff(processes []*Process, targets []*Target, step Step, hold func()) {
	tb.markAllImpaired(processes, step)
	for _, t := range targets {
		t.Crash()
	}
	var kills sync.WaitGroup
	for _, p := range processes {
		kills.Go(func() { tb.Kill(p) })
	}
	kills.Wait()
	hold()
	for _, p := range processes {
		tb.restart(p)
	}
	for _, t := range targets {
		tb.startCold(t)
	}
}

// replaceCoreMachine loses a core machine for good, and starts a replacement.
func (tb *Testbed) replaceCoreMachine(name string) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if err := tb.ReplaceMachine(name); err != nil {
		tb.Checker.Violation("replace %s: %v", name, err)
	}
}
