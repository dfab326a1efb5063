package registry

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/transport/wire"
)

const (
	// campaignBackoff is how long a registry leaves the duty of planner alone that it
	// has just given up: failure detection that wavers must not have it change
	// hands with each verdict.
	campaignBackoff = 2 * time.Second
	// resumeSettleTime is how long a registry that was frozen listens before it plans.
	resumeSettleTime = 2 * time.Second
	// startupGrace is how long a run waits before it passes over those who say that
	// they reach no majority: where all start at once, none of them does at first.
	startupGrace = 5 * time.Second
)

// observeEpoch notes a higher epoch; what is under a lower one is rejected from then on.
func (r *Registry) observeEpoch(now ids.Time, epoch ids.Epoch) {
	r.highestEpoch = max(r.highestEpoch, epoch)
	if r.ownEpoch != 0 && r.highestEpoch > r.ownEpoch {
		r.stepDown(now, "duty lost")
	}
}

func (r *Registry) stepDown(now ids.Time, reason event.LogEvent) {
	r.Log(event.LevelInfo, reason, "duty", "planner", "epoch", formatUint(uint64(r.ownEpoch)))
	r.ownEpoch, r.steppedDownAt = 0, now
}

// PlannerEpoch gives the epoch under which this registry plans, if it does.
func (r *Registry) PlannerEpoch() (ids.Epoch, bool) { return r.ownEpoch, r.ownEpoch != 0 }

// tickPlanner takes the duty when it is this registry's turn, and plans.
func (r *Registry) tickPlanner(now ids.Time) {
	if !r.shouldLead(now) {
		if r.ownEpoch != 0 {
			r.stepDown(now, "duty given up")
		}
		return
	}
	if r.ownEpoch == 0 {
		r.campaign(now)
		return
	}
	if now >= r.nextBroadcast {
		r.nextBroadcast = now.Add(time.Second)
		r.broadcastSpillTable()
	}
	if now >= r.nextPlan {
		r.nextPlan = now.Add(r.options.PlanEvery)
		r.plan(now)
		r.broadcastSpillTable()
	}
}

// shouldLead tells whether the duty is this registry's: it holds the control
// lease, and is the first of those that say that they reach a majority. One that
// is heard but hears nothing says that it doesn't, and gives the duty up itself.
func (r *Registry) shouldLead(now ids.Time) bool {
	if r.stopping || !r.hasLease(now) || now.Sub(r.resumedAt) <= resumeSettleTime {
		return false
	}
	for _, m := range r.Live(membership.Registry) {
		if m.ID == r.Self.ID {
			return true
		}
		if m.Ready || now.Sub(r.startedAt) < startupGrace {
			return false
		}
	}
	return false
}

func (r *Registry) campaign(now ids.Time) {
	recent := r.steppedDownAt != 0 && now.Sub(r.steppedDownAt) < campaignBackoff
	if r.campaigning || recent || r.view.Revision == 0 {
		return
	}
	r.campaigning = true
	raw, _ := wire.Encode(election.Term{Holder: r.Self.ID, RunID: r.Self.RunID, Epoch: r.highestEpoch})
	r.Client.Call(now, election.RegisterKey("planner"), election.OpAcquire, raw, 2*time.Second, func(at ids.Time, s consensus.Outcome, out []byte) {
		r.campaigning = false
		term, ok := election.DecodeTerm(out)
		mine := ok && term.Holder == r.Self.ID && term.RunID == r.Self.RunID
		// A higher epoch was heard of meanwhile: another holds the duty, or held it.
		if s != consensus.Succeeded || !mine || term.Epoch < r.highestEpoch {
			return
		}
		r.observeEpoch(at, term.Epoch)
		r.ownEpoch, r.spillTable.Epoch = term.Epoch, term.Epoch
		r.nextPlan = at.Add(min(r.options.PlanEvery, 5*time.Second))
		r.Log(event.LevelInfo, "duty taken", "duty", "planner", "epoch", formatUint(uint64(term.Epoch)))
	})
}
