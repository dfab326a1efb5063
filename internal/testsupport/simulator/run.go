package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/checker"
)

// Outcome is the result of a run.
type Outcome struct {
	Seed uint64
	// Results are the results of the checker's rules, and Violations is the sum of their
	// violations.
	Results    []checker.RuleResult
	Violations int
	// TraceHash is a hash over all lines of the log, whether or not they are kept. Two runs with
	// the same TraceHash and Events were identical.
	TraceHash uint64
	Events    uint64
	// Responses counts the clients' attempts by class, and the executions under "runs".
	Responses map[string]int
	// Changes counts the accepted configuration changes.
	Changes int
	// Pruned counts the idempotency records that disks deleted when their retention ended.
	Pruned int
	// FaultCounts counts the random faults by kind.
	FaultCounts map[string]int
	Log         []string
	// History holds the operations on the configuration register as observed by their callers.
	History []Operation
}

// ReplayCommand returns the command that runs the same seed again and prints its log.
func (o Outcome) ReplayCommand(plan, scene string, hot bool, length time.Duration) string {
	if hot {
		return fmt.Sprintf("testbed drill --hot --from %d --seeds 1 --trace", o.Seed)
	}
	if scene != "" {
		plan += " --scene " + scene
	}
	return fmt.Sprintf("testbed drill --plan %s --length %s --from %d --seeds 1 --trace", plan, length, o.Seed)
}

// Run runs one seed: bootstrap, load with faults, recovery, a check of the whole ledger, and a
// closing fault followed by another check.
func Run(p Options) Outcome {
	w := NewWorld(p)
	w.clients.connections = map[string]longLivedConnection{}
	w.Checker.RetryAllowance = float64(w.Plan.RetryAllowance())
	w.build()
	w.schedule(time.Second, func() { w.sendInitialChange() })
	w.runUntil(ids.Time(6 * time.Second))
	w.arrivals()
	w.trackCoreLosses()
	if w.FaultEvery > 0 {
		w.runOperators()
	}
	switch {
	case w.Script != nil:
		w.Script(w)
	case w.FaultEvery > 0:
		w.injectRandomFaults()
	}
	w.runUntil(w.faultsEnd())
	w.recoverAll()
	w.runUntil(w.faultsEnd().Add(maxRecoveryTime + 10*time.Second))
	w.clients.stopped, w.operators.stopped = true, true
	w.runUntil(w.now.Add(20 * time.Second))
	w.verifyLedger("after the load")
	w.runUntil(w.now.Add(6 * time.Second))
	if w.FaultEvery > 0 {
		w.injectClosingFault()
		w.runUntil(w.now.Add(closingFaultTimeout + maxRecoveryTime))
		w.verifyLedger("after the closing fault")
		w.runUntil(w.now.Add(6 * time.Second))
	}
	return w.outcome()
}

// outcome returns the result of the run.
func (w *World) outcome() Outcome {
	out := Outcome{
		Seed: w.Seed, Results: w.Checker.Results(), TraceHash: w.traceHash, Events: w.Events, Responses: w.Checker.CountByClass(time.Unix(0, 0)),
		Changes: w.Checker.AcceptedChanges(), Pruned: w.pruned, FaultCounts: w.faultCounts, Log: w.Log, History: w.history.operations(),
	}
	for _, c := range out.Results {
		out.Violations += c.Violations
	}
	return out
}

// sendInitialChange sends the plan's configuration, retrying until it is accepted.
func (w *World) sendInitialChange() {
	w.sendChange(string(w.Plan.InitialChange()), func(configuration.Result) {})
}

// recoverAll ends every fault and starts every process and target that is down.
func (w *World) recoverAll() {
	w.trace("all faults end")
	w.recoveredAt = w.now
	w.Checker.MachinesRecovered(w.wallTime())
	w.partitions, w.operatorResponseLoss = nil, 0
	w.onNextAck, w.onNextChange = nil, nil
	w.network = networkConditions{jitter: time.Millisecond}
	for _, p := range w.processes {
		if p.disk != nil {
			p.disk.stalled, p.disk.slowdown = false, 0
		}
		switch {
		case p.removed:
		case !p.up:
			p.start()
		case p.frozen:
			p.unfreeze()
		}
	}
	for _, t := range w.targets {
		t.lostResponseShare, t.corruptResponseShare = 0, 0
		if t.draining {
			t.crash()
		}
		w.restartTarget(t)
	}
	w.restoreZone()
}
