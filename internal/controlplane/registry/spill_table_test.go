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

// A registry rejects tables of an epoch below the highest one that it has seen.
func TestSpillTable_StaleEpochIsRejected(t *testing.T) {
	harness := registrytest.New(registry.Options{PlanInterval: time.Hour})
	setUp(t, harness)
	move := func(to ids.Name) []spill.Move { return []spill.Move{{From: "c", To: to, Fraction: 1}} }
	declarePeerDead(harness)
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 7, Number: 1, Moves: move("new")})
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 99, Moves: move("old")})
	if got := harness.SpillTable(); got.Epoch != 7 || got.Moves[0].To != "new" {
		t.Fatalf("spill table in use is %+v, want that of epoch 7", got)
	}
	// The sender is sent the current epoch, which it may not have seen.
	var sentEpoch ids.Epoch
	harness.OnSend = func(s event.Send) {
		if term, ok := s.Message.(election.Term); ok && s.To == peerAddress {
			sentEpoch = term.Epoch
		}
	}
	harness.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 100})
	if sentEpoch != 7 {
		t.Fatalf("the sender was sent epoch %d, want 7", sentEpoch)
	}
	// It is elected under an epoch above the highest seen, although the register's is lower.
	harness.Run(4 * time.Second)
	if plannerEpoch(harness) <= 7 {
		t.Fatalf("leads under epoch %d, want a higher one than 7", plannerEpoch(harness))
	}
}
