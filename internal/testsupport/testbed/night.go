package testbed

import (
	"context"
	"sync"
	"time"
)

// RestartAndVerify kills every daemon at once, starts them from what the disks hold, and
// reads everything back again.
func (tb *Testbed) RestartAndVerify(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range tb.snapshot() {
		if !p.Replaced {
			all.Go(func() { tb.Kill(p) })
		}
	}
	all.Wait()
	for _, p := range tb.snapshot() {
		tb.restart(p)
	}
	if _, err := tb.AwaitReady(ctx, 30*time.Second); err != nil {
		tb.Checker.Violation("not whole after the night: %v", err)
	}
	tb.operators.VerifyLedger("after the night")
}
