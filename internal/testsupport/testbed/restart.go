package testbed

import (
	"context"
	"sync"
	"time"
)

// recoveryTimeout bounds the wait for a fleet to be ready after faults have ended.
const recoveryTimeout = 30 * time.Second

// RestartAndVerify kills all daemons at once, restarts them with the data on their disks,
// and verifies that every accepted change can be read back through every daemon.
func (tb *Testbed) RestartAndVerify(ctx context.Context) {
	var kills sync.WaitGroup
	for _, p := range tb.snapshot() {
		if !p.Replaced {
			kills.Go(func() { tb.Kill(p) })
		}
	}
	kills.Wait()
	for _, p := range tb.snapshot() {
		tb.restart(p)
	}
	if _, err := tb.AwaitReady(ctx, recoveryTimeout); err != nil {
		tb.Checker.Violation("not ready after the restart of all daemons: %v", err)
	}
	tb.operators.VerifyConfiguration("after the restart of all daemons")
}

// restart restarts a process, unless it is running or was replaced.
func (tb *Testbed) restart(p *Process) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if p.Stopped && !p.Replaced {
		if err := tb.StartProcess(p); err != nil {
			tb.Checker.Violation("start %s: %v", p.Name, err)
		}
	}
}
