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

// plannerElection names the election of the registry that plans the spill-over.
const plannerElection = "planner"

const (
	// campaignBackoff is how long a registry that has lost or given up the leadership
	// waits before it campaigns again, so that failure detection that wavers doesn't
	// move the leadership with every declaration.
	campaignBackoff = 2 * time.Second
	// campaignTimeout is how long a campaign waits for a majority of stores.
	campaignTimeout = 2 * time.Second
	// resumeGrace is how long a registry that was frozen listens to the others
	// before it leads.
	resumeGrace = 2 * time.Second
	// startupGrace is how long a run waits before it passes over peers that report
	// themselves not ready: if all start together, none of them is ready at first.
	startupGrace = 5 * time.Second
	// firstPlanDelay bounds the time from the election to the first plan, so that a new
	// planner doesn't wait for a whole plan interval.
	firstPlanDelay = 5 * time.Second
)

// leadership is this registry's part in the election of the planner. Who should lead is
// the first live registry by the membership list; what makes that safe is the epoch,
// which a replicated register raises at each election. What belongs to a lower epoch
// is rejected.
type leadership struct {
	// highestEpoch is the highest epoch that this registry knows of.
	highestEpoch ids.Epoch
	// ownEpoch is the epoch under which this registry leads; zero if it doesn't.
	ownEpoch    ids.Epoch
	campaigning bool
	// steppedDownAt is when this run last ceased to lead; zero if it never led.
	steppedDownAt ids.Time
}

// leads tells whether this registry is the planner.
func (l *leadership) leads() bool { return l.ownEpoch != 0 }

// PlannerEpoch gives the epoch under which this registry plans, and whether it does.
func (r *Registry) PlannerEpoch() (ids.Epoch, bool) {
	return r.leadership.ownEpoch, r.leadership.leads()
}

// observeEpoch notes an epoch. A registry that led under a lower one no longer leads.
func (r *Registry) observeEpoch(now ids.Time, epoch ids.Epoch) {
	r.leadership.highestEpoch = max(r.leadership.highestEpoch, epoch)
	if r.leadership.leads() && r.leadership.highestEpoch > r.leadership.ownEpoch {
		r.stepDown(now, logLeadershipLost)
	}
}

// resign gives the leadership up if this registry has it.
func (r *Registry) resign(now ids.Time) {
	if r.leadership.leads() {
		r.stepDown(now, logLeadershipResigned)
	}
}

func (r *Registry) stepDown(now ids.Time, reason event.LogEvent) {
	r.Log(event.LevelInfo, reason, "election", plannerElection, "epoch", formatUint(r.leadership.ownEpoch))
	r.leadership.ownEpoch, r.leadership.steppedDownAt = 0, now
}

// tickLeadership campaigns or resigns as the membership list asks for, and plans while
// this registry leads.
func (r *Registry) tickLeadership(now ids.Time) {
	switch {
	case !r.shouldLead(now):
		r.resign(now)
	case !r.leadership.leads():
		r.campaign(now)
	default:
		r.tickPlanner(now)
	}
}

// shouldLead tells whether this registry holds the control lease and is the first of the
// live registries that report themselves ready. A peer that is heard but hears nothing
// reports that it isn't ready, and resigns by itself.
func (r *Registry) shouldLead(now ids.Time) bool {
	if r.stopping || !r.lease.isHeld(now) || now.Sub(r.resumedAt) <= resumeGrace {
		return false
	}
	for _, member := range r.Live(membership.Registry) {
		if member.ID == r.Self.ID {
			return true
		}
		if member.Ready || now.Sub(r.startedAt) < startupGrace {
			return false
		}
	}
	return false
}

// campaign asks the stores for the leadership, unless a campaign is under way, this run
// has only just stepped down, or there is no configuration to plan by.
func (r *Registry) campaign(now ids.Time) {
	lead := &r.leadership
	backingOff := lead.steppedDownAt != 0 && now.Sub(lead.steppedDownAt) < campaignBackoff
	if lead.campaigning || backingOff || r.configuration.view.Revision == 0 {
		return
	}
	bid, err := wire.Encode(election.Term{Holder: r.Self.ID, RunID: r.Self.RunID, Epoch: lead.highestEpoch})
	if err != nil {
		r.Log(event.LevelError, logCampaignFailed, "election", plannerElection, "error", err.Error())
		return
	}
	lead.campaigning = true
	r.Client.Call(now, election.RegisterKey(plannerElection), election.OpAcquire, bid, campaignTimeout, r.endCampaign)
}

// endCampaign takes the leadership if the stores have granted it, and no higher epoch has
// been seen meanwhile: that would be another registry's.
func (r *Registry) endCampaign(now ids.Time, outcome consensus.Outcome, encoded []byte) {
	lead := &r.leadership
	lead.campaigning = false
	term, valid := election.DecodeTerm(encoded)
	granted := valid && term.Holder == r.Self.ID && term.RunID == r.Self.RunID
	if outcome != consensus.Succeeded || !granted || term.Epoch < lead.highestEpoch {
		return
	}
	r.observeEpoch(now, term.Epoch)
	lead.ownEpoch = term.Epoch
	r.planner.table.Epoch = term.Epoch
	r.planner.nextPlan = now.Add(min(r.options.PlanEvery, firstPlanDelay))
	r.Log(event.LevelInfo, logLeadershipAcquired, "election", plannerElection, "epoch", formatUint(term.Epoch))
}
