package registry

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

const (
	// tableExpiryQuorumReadAge is the age of the last quorum read above which a
	// table that is no longer confirmed may expire.
	tableExpiryQuorumReadAge = 5 * time.Second
	// tableExpiryPlans is the number of plan intervals after which an unconfirmed table
	// expires.
	tableExpiryPlans = 3
)

// handleSpillTable adopts the planner's table unless its epoch is stale. In that case the
// sender is sent the current epoch: it may have missed the election that replaced it, and
// would otherwise continue to send plans that are rejected.
func (r *Registry) handleSpillTable(now ids.Time, from ids.Address, table spill.Table) {
	if table.Epoch < r.leadership.highestEpoch {
		r.Send(from, election.Term{Epoch: r.leadership.highestEpoch})
		return
	}
	r.observeEpoch(now, table.Epoch)
	if table.Newer(r.planner.table) {
		r.planner.table = table
		r.Log(event.LevelInfo, logSpillTableAdopted, "epoch", formatUint(table.Epoch), "number", formatUint(table.Number), "count", formatUint(uint64(len(table.Moves))))
	}
	if !r.planner.table.Newer(table) {
		r.planner.tableConfirmedAt = now
	}
}

// isSpillTableExpired reports whether the table is too old to be used: this registry has
// lost the majority and has not received the table for tableExpiryPlans plan intervals.
// While a majority is reachable the last table stays valid, even without a planner.
func (r *Registry) isSpillTableExpired(now ids.Time) bool {
	lostMajority := now.Sub(r.lease.renewedAt) > tableExpiryQuorumReadAge
	unconfirmed := now.Sub(r.planner.tableConfirmedAt) > tableExpiryPlans*r.options.PlanInterval
	return lostMajority && unconfirmed
}

// SpillTable returns the spill table in use, for tests and status pages.
func (r *Registry) SpillTable() spill.Table { return r.planner.table }
