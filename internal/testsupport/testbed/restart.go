package testbed

import (
	"context"
	"sync"
	"time"
)

// recoveryTimeout is how long a fleet may take to be ready after faults ended;
// beyond it waiting is given up.
const recoveryTimeout = 30 * time.Second

// RestartAndVerify kills every daemon at once, starts them from what is on their
// disks, and reads every accepted change back through every daemon.
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
		tb.Checker.Violation("not ready after the restart of all: %v", err)
	}
	tb.operators.VerifyLedger("after the restart of all")
}

// restart starts a process again, unless it runs or was replaced.
func (tb *Testbed) restart(p *Process) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if p.Stopped && !p.Replaced {
		if err := tb.StartProcess(p); err != nil {
			tb.Checker.Violation("start %s: %v", p.Name, err)
		}
	}
}
