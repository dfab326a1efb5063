package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RunLoad runs clients, operators and probes for a duration. Meanwhile it calls during,
// unless that is nil. Finally it verifies that every accepted change can be read back.
func (tb *Testbed) RunLoad(ctx context.Context, duration time.Duration, during func(context.Context)) {
	load, stop := context.WithTimeout(ctx, duration)
	defer stop()
	tb.clients = &Clients{Plan: tb.Plan, Checker: tb.Checker, Registries: tb.registryAddresses, Delay: tb.standInLatency, Testbed: tb}
	tb.operators = NewOperators(tb)
	var pending sync.WaitGroup
	pending.Go(func() { tb.clients.Run(load) })
	pending.Go(func() { tb.operators.Run(load) })
	pending.Go(func() { tb.probes.run(load, tb) })
	if during != nil {
		during(load)
	}
	pending.Wait()
	tb.operators.VerifyConfiguration("after the load")
}

// Report prints the results since the given time, and returns the number of violations.
func (tb *Testbed) Report(since time.Time) int {
	counts := tb.Checker.CountByClass(since)
	fmt.Fprintf(tb.Out, "\nresponses: %d answered, %d declined, %d unknown, %d lost, %d unreached; %d executions at targets\n",
		counts[classAnswered], counts["declined"], counts["unknown"], counts[classLost], counts[classUnreached], counts["runs"])
	within1s, requests := tb.Checker.ShareAnsweredWithin(time.Second)
	within5s, _ := tb.Checker.ShareAnsweredWithin(5 * time.Second)
	fmt.Fprintf(tb.Out, "of %d requests, %.2f%% were answered within 1 s of the first attempt, %.2f%% within 5 s\n", requests, within1s*100, within5s*100)
	fmt.Fprintf(tb.Out, "last failed first attempt: %s after the machines had recovered\n", tb.Checker.RecoveryTime().Round(time.Millisecond))
	violations := 0
	for _, c := range tb.Checker.Results() {
		violations += c.Violations
		// A rule that was never checked proves nothing.
		if c.Judged == 0 && c.Violations == 0 {
			fmt.Fprintf(tb.Out, "  %-62s nothing to judge\n", c.Rule)
			continue
		}
		fmt.Fprintf(tb.Out, "  %-62s %d in %d  %s\n", c.Rule, c.Violations, c.Judged, c.Sample)
	}
	tb.probes.print(tb)
	fmt.Fprintf(tb.Out, "%d changes accepted, %d with unknown outcome\n", tb.Checker.AcceptedChanges(), tb.Checker.PendingChanges())
	return violations
}
