package registry

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

const (
	// tableExpiresWithoutAgreement is the age of the last agreement from which on a
	// table that is no longer confirmed may expire.
	tableExpiresWithoutAgreement = 5 * time.Second
	// tableExpiryPlans is the number of plan intervals after which an unconfirmed table
	// expires.
	tableExpiryPlans = 3
)

// handleSpillTable adopts the planner's table, unless it was made under an epoch that has
// ended. Its sender is then told the current epoch: it may not have heard of the election
// that ended its own, and would go on planning for nobody.
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

// isSpillTableExpired tells whether the table is too old to be used: this registry has
// lost the majority, and has not received the table for some plan intervals. With a
// majority the last table holds even if there is no planner.
func (r *Registry) isSpillTableExpired(now ids.Time) bool {
	lostMajority := now.Sub(r.lease.agreedAt) > tableExpiresWithoutAgreement
	unconfirmed := now.Sub(r.planner.tableConfirmedAt) > tableExpiryPlans*r.options.PlanEvery
	return lostMajority && unconfirmed
}

// SpillTable gives the spill table in use, for tests and status pages.
func (r *Registry) SpillTable() spill.Table { return r.planner.table }
