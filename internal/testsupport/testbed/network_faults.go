package testbed

import "strings"

// partitionNetwork cuts subjects off from all others, in both directions or one.
// A split keeps the subjects connected among themselves, as do the others.
func (tb *Testbed) partitionNetwork(step Step, hold func()) {
	inside := map[string]bool{}
	for _, name := range strings.Split(step.Subject, "+") {
		for ip := range tb.ipsOf(name) {
			inside[ip] = true
		}
	}
	partition := &Partition{Blocks: func(from, to string) bool {
		outgoing, incoming := inside[from] && !inside[to], inside[to] && !inside[from]
		return outgoing && step.Action != actionCutIn || incoming && step.Action != actionCutOut
	}}
	if step.Action == actionSplit {
		tb.markAllImpaired(tb.snapshot(), step)
	} else {
		tb.markAllImpaired(tb.MachineProcesses(step.Subject), step)
	}
	unreachable := tb.targetsCutOff(step, inside)
	for _, t := range unreachable {
		t.SetUnreachable(true)
	}
	tb.relay.StartPartition(partition)
	hold()
	tb.relay.EndPartition(partition)
	for _, t := range unreachable {
		t.SetUnreachable(false)
	}
}

// targetsCutOff are the targets whose heartbeats reach no registry. On either
// side of a split there may be one.
func (tb *Testbed) targetsCutOff(step Step, inside map[string]bool) []*Target {
	if step.Action == actionCutIn || step.Action == actionSplit {
		return nil
	}
	var out []*Target
	for _, t := range tb.Targets {
		if inside[ipOf(t.Address)] {
			out = append(out, t)
		}
	}
	return out
}
