package testbed

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxStopTime is the time within which a daemon must exit after SIGTERM; the platform
// sends SIGKILL after 3 s.
const maxStopTime = 2500 * time.Millisecond

// faultProcesses kills, stops or freezes processes, and afterwards restarts or resumes them.
func (tb *Testbed) faultProcesses(step Step, processes []*Process, waitFault func()) {
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
	waitFault()
	for _, p := range processes {
		if step.Action == actionFreeze {
			tb.Signal(p, syscall.SIGCONT)
		} else {
			tb.restart(p)
		}
	}
}

// killRole kills all daemons of a role at once, and restarts them.
func (tb *Testbed) killRole(step Step, waitFault func()) {
	tb.killAndRestart(tb.runningProcesses(func(p *Process) bool { return p.Role == step.Subject }), nil, step, waitFault)
}

// killZones kills all daemons and targets of a zone or region at once, and restarts them.
func (tb *Testbed) killZones(step Step, waitFault func()) {
	zones := zonesOf(tb.Plan, step.Subject)
	processes := tb.runningProcesses(func(p *Process) bool { return slices.Contains(zones, p.Zone) })
	var targets []*Target
	for _, t := range tb.Targets {
		if slices.Contains(zones, t.Zone) {
			targets = append(targets, t)
		}
	}
	tb.killAndRestart(processes, targets, step, waitFault)
}

// runningProcesses returns the matching processes that are neither stopped nor replaced.
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

// killAndRestart kills processes and targets at once, and restarts them when the fault ends.
func (tb *Testbed) killAndRestart(processes []*Process, targets []*Target, step Step, waitFault func()) {
	tb.markAllImpaired(processes, step)
	for _, t := range targets {
		t.Crash()
	}
	var kills sync.WaitGroup
	for _, p := range processes {
		kills.Go(func() { tb.Kill(p) })
	}
	kills.Wait()
	waitFault()
	for _, p := range processes {
		tb.restart(p)
	}
	for _, t := range targets {
		tb.startCold(t)
	}
}

// replaceCoreMachine replaces a core machine, and reports an error as a violation.
func (tb *Testbed) replaceCoreMachine(name string) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if err := tb.ReplaceMachine(name); err != nil {
		tb.Checker.Violation("replace %s: %v", name, err)
	}
}
