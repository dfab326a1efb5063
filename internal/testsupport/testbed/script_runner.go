package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// maxRecoveryTime is the time after the last fault within which every daemon must be ready.
const maxRecoveryTime = 15 * time.Second

// RunScript runs the steps of a script at their scheduled times, then waits until every
// daemon is ready, and reports a violation if that takes too long.
func (tb *Testbed) RunScript(ctx context.Context, script *Script) {
	var steps sync.WaitGroup
	start := time.Now()
	for _, step := range script.Steps {
		steps.Go(func() {
			if !sleepContext(ctx, time.Until(start.Add(time.Duration(step.At)))) {
				return
			}
			fmt.Fprintf(tb.Out, "%7.1fs %s %s for %s\n", time.Since(start).Seconds(), step.Action, step.Subject, step.For)
			tb.runStep(ctx, step)
		})
	}
	steps.Wait()
	tb.Checker.MachinesRecovered(time.Now())
	elapsed, err := tb.AwaitReady(ctx, recoveryTimeout)
	fmt.Fprintf(tb.Out, "%7.1fs all daemons ready %s after the last fault\n", time.Since(start).Seconds(), elapsed.Round(time.Millisecond))
	if err != nil {
		tb.Checker.Violation("not ready after the faults: %v", err)
	} else if elapsed > maxRecoveryTime {
		tb.Checker.Violation("ready %s after the faults, which is too late", elapsed)
	}
}

// runStep runs one step, and returns when its fault has ended.
func (tb *Testbed) runStep(ctx context.Context, step Step) {
	// waitFault sleeps for the duration of the fault.
	waitFault := func() { sleepContext(ctx, time.Duration(step.For)) }
	switch step.Action {
	case actionKill, actionStop, actionFreeze:
		tb.faultProcesses(step, tb.MachineProcesses(step.Subject), waitFault)
	case actionCut, actionCutIn, actionCutOut, actionSplit:
		tb.partitionNetwork(step, waitFault)
	case actionReplaceCore:
		tb.replaceCoreMachine(step.Subject)
	case actionKillRole:
		tb.killRole(step, waitFault)
	case actionLoseZone, actionLoseRegion:
		tb.killZones(step, waitFault)
	case actionDrainZone:
		tb.drainZone(ids.Name(step.Subject), waitFault)
	case actionBurst:
		tb.operators.SendBurst(ctx, step.Count, time.Duration(step.For))
	case actionHotZone:
		zone := ids.Name(step.Subject)
		tb.clients.hotZone.Store(&zone)
		waitFault()
		tb.clients.hotZone.Store(nil)
	case actionStallDisk:
		for _, p := range tb.MachineProcesses(step.Subject) {
			tb.stallDisk(ctx, p, time.Duration(step.For))
		}
	default:
		tb.faultTarget(step, tb.findTarget(step.Subject), waitFault)
	}
}

// drainZone drains a zone by a configuration change, and restores it afterwards.
func (tb *Testbed) drainZone(zone ids.Name, waitFault func()) {
	id, _ := tb.operators.newID("empty")
	asked := time.Now()
	if tb.operators.send(tb.operators.generator.Drain(id, zone, true), false) == 0 {
		tb.Checker.Violation("could not drain %s", zone)
		return
	}
	tb.Checker.ZoneDrained(zone, asked, time.Now())
	waitFault()
	// Traffic may return as soon as the change is sent, and must be able to return once it
	// is accepted, which the second call records.
	tb.Checker.ZoneRestored(zone, time.Now())
	id, _ = tb.operators.newID("refill")
	if tb.operators.send(tb.operators.generator.Drain(id, zone, false), false) == 0 {
		tb.Checker.Violation("could not restore %s", zone)
	}
	tb.Checker.ZoneRestored(zone, time.Now())
}

// sleepContext sleeps for a duration. It returns false if the context is done before.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
