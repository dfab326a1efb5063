package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// maxRecoveryTime is how long after the last fault every daemon must be ready.
const maxRecoveryTime = 15 * time.Second

// RunScript runs the steps of a script at their times, then waits until every
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
	fmt.Fprintf(tb.Out, "%7.1fs every daemon ready %s after the last machine was back\n", time.Since(start).Seconds(), elapsed.Round(time.Millisecond))
	if err != nil {
		tb.Checker.Violation("not ready after the faults: %v", err)
	} else if elapsed > maxRecoveryTime {
		tb.Checker.Violation("ready only %s after the faults", elapsed)
	}
}

// runStep runs one step, and returns once its fault has ended.
func (tb *Testbed) runStep(ctx context.Context, step Step) {
	// hold waits while the fault lasts.
	hold := func() { sleepContext(ctx, time.Duration(step.For)) }
	switch step.Action {
	case actionKill, actionStop, actionFreeze:
		tb.faultProcesses(step, tb.MachineProcesses(step.Subject), hold)
	case actionCut, actionCutIn, actionCutOut, actionSplit:
		tb.partitionNetwork(step, hold)
	case actionReplaceCore:
		tb.replaceCoreMachine(step.Subject)
	case actionKillRole:
		tb.loseRole(step, hold)
	case actionLoseZone, actionLoseRegion:
		tb.loseZones(step, hold)
	case actionDrainZone:
		tb.drainZone(ids.Name(step.Subject), hold)
	case actionBurst:
		tb.operators.SendBurst(ctx, step.Count, time.Duration(step.For))
	case actionHotZone:
		zone := ids.Name(step.Subject)
		tb.clients.hotZone.Store(&zone)
		hold()
		tb.clients.hotZone.Store(nil)
	case actionStallDisk:
		for _, p := range tb.MachineProcesses(step.Subject) {
			tb.stallDisk(ctx, p, time.Duration(step.For))
		}
	default:
		tb.faultTarget(step, tb.findTarget(step.Subject), hold)
	}
}

// drainZone has operators drain a zone for a while, and restore it.
func (tb *Testbed) drainZone(zone ids.Name, hold func()) {
	id, _ := tb.operators.newID("empty")
	asked := time.Now()
	if tb.operators.send(tb.operators.generator.Drain(id, zone, true), false) == 0 {
		tb.Checker.Violation("%s couldn't be drained", zone)
		return
	}
	tb.Checker.ZoneDrained(zone, asked, time.Now())
	hold()
	// Traffic may return from when the change is sent; it must be able to return from
	// when the change is accepted, which the second call notes.
	tb.Checker.ZoneRestored(zone, time.Now())
	id, _ = tb.operators.newID("refill")
	if tb.operators.send(tb.operators.generator.Drain(id, zone, false), false) == 0 {
		tb.Checker.Violation("%s couldn't be restored", zone)
	}
	tb.Checker.ZoneRestored(zone, time.Now())
}

// sleepContext sleeps for a duration; false if the context ended before.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
