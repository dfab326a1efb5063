package testbed

import (
	"context"
	"sync"
	"time"
)

// RestartAndVerify kills every daemon at once, starts them from what the disks hold, and
// reads everything back again.
func (s *Testbed) RestartAndVerify(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range s.all() {
		if !p.Gone {
			all.Go(func() { s.Kill(p) })
		}
	}
	all.Wait()
	for _, p := range s.all() {
		s.revive(p)
	}
	if _, err := s.Await(ctx, 30*time.Second); err != nil {
		s.Checker.Violation("not whole after the night: %v", err)
	}
	s.operators.VerifyLedger("after the night")
}
