package registry_test

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

// A table of an epoch that has ended is rejected by every registry that knows a higher one.
func TestSpillTable_StaleEpochIsRejected(t *testing.T) {
	harness := registrytest.New(registry.Options{PlanEvery: time.Hour})
	setUp(t, harness)
	move := func(to ids.Name) []spill.Move { return []spill.Move{{From: "c", To: to, Fraction: 1}} }
	declarePeerDead(harness)
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 7, Number: 1, Moves: move("new")})
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 99, Moves: move("old")})
	if got := harness.SpillTable(); got.Epoch != 7 || got.Moves[0].To != "new" {
		t.Fatalf("%+v", got)
	}
	// The sender is told the current epoch, which it may not have heard of.
	var sentEpoch ids.Epoch
	harness.OnSend = func(s event.Send) {
		if term, ok := s.Message.(election.Term); ok && s.To == peerAddress {
			sentEpoch = term.Epoch
		}
	}
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 100})
	if sentEpoch != 7 {
		t.Fatalf("the sender was told epoch %d", sentEpoch)
	}
	// Its own epoch is above the highest it has seen, though the register holds a lower one.
	harness.Run(4 * time.Second)
	if plannerEpoch(harness) <= 7 {
		t.Fatalf("plans under %d", plannerEpoch(harness))
	}
}
