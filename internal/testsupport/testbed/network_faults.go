package testbed

import "strings"

// partitionNetwork disconnects the step's subjects from all other machines, in one or both
// directions. Subjects stay connected to each other, and so do the other machines.
func (tb *Testbed) partitionNetwork(step Step, waitFault func()) {
	isolated := map[string]bool{}
	for _, name := range strings.Split(step.Subject, "+") {
		for ip := range tb.ipsOf(name) {
			isolated[ip] = true
		}
	}
	partition := &Partition{Blocks: func(from, to string) bool {
		outgoing, incoming := isolated[from] && !isolated[to], isolated[to] && !isolated[from]
		return outgoing && step.Action != actionCutIn || incoming && step.Action != actionCutOut
	}}
	if step.Action == actionSplit {
		tb.markAllImpaired(tb.snapshot(), step)
	} else {
		tb.markAllImpaired(tb.MachineProcesses(step.Subject), step)
	}
	unreachable := tb.targetsCutOff(step, isolated)
	for _, t := range unreachable {
		t.SetUnreachable(true)
	}
	tb.relay.StartPartition(partition)
	waitFault()
	tb.relay.EndPartition(partition)
	for _, t := range unreachable {
		t.SetUnreachable(false)
	}
}

// targetsCutOff returns the targets whose heartbeats reach no registry. A split has none,
// as there may be a registry on either side.
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
