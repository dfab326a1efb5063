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
	// campaignBackoff is how long a registry that has lost or resigned the leadership
	// waits before it campaigns again, so that flapping failure detection doesn't
	// move the leadership each time.
	campaignBackoff = 2 * time.Second
	// campaignTimeout is how long a campaign waits for a majority of stores.
	campaignTimeout = 2 * time.Second
	// resumeGrace is how long a registry that was paused waits for messages from
	// its peers before it may lead.
	resumeGrace = 2 * time.Second
	// startupGrace is how long after its start a registry still defers to peers that
	// aren't ready: if all start at the same time, none of them is ready at first.
	startupGrace = 5 * time.Second
	// firstPlanDelay bounds the time from the election to the first plan, so that a new
	// planner doesn't wait for a whole plan interval.
	firstPlanDelay = 5 * time.Second
)

// leadership is this registry's state in the planner election. The preferred leader is the
// first live, ready registry of the membership list. Safety rests on the epoch alone, a
// fencing token that a replicated register increments at each election: messages of a
// lower epoch are rejected.
type leadership struct {
	// highestEpoch is the highest epoch seen.
	highestEpoch ids.Epoch
	// ownEpoch is the epoch under which this registry leads; zero if it doesn't.
	ownEpoch    ids.Epoch
	campaigning bool
	// steppedDownAt is when this registry last stopped leading; zero if it never led.
	steppedDownAt ids.Time
}

// leads reports whether this registry is the planner.
func (l *leadership) leads() bool { return l.ownEpoch != 0 }

// PlannerEpoch returns the epoch under which this registry leads, and whether it leads.
func (r *Registry) PlannerEpoch() (ids.Epoch, bool) {
	return r.leadership.ownEpoch, r.leadership.leads()
}

// observeEpoch records an epoch, and steps down if this registry leads under a lower one.
func (r *Registry) observeEpoch(now ids.Time, epoch ids.Epoch) {
	r.leadership.highestEpoch = max(r.leadership.highestEpoch, epoch)
	if r.leadership.leads() && r.leadership.highestEpoch > r.leadership.ownEpoch {
		r.stepDown(now, logLeadershipLost)
	}
}

// resign steps down if this registry leads.
func (r *Registry) resign(now ids.Time) {
	if r.leadership.leads() {
		r.stepDown(now, logLeadershipResigned)
	}
}

func (r *Registry) stepDown(now ids.Time, reason event.LogEvent) {
	r.Log(event.LevelInfo, reason, "election", plannerElection, "epoch", formatUint(r.leadership.ownEpoch))
	r.leadership.ownEpoch, r.leadership.steppedDownAt = 0, now
}

// tickLeadership campaigns or resigns depending on the membership list, and plans while
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

// shouldLead reports whether this registry holds the control lease and is the first of the
// live registries that are ready. A peer that can send but not receive reports itself not
// ready, and resigns on its own.
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

// campaign requests the leadership from the stores, unless a campaign is in progress, this
// registry has just stepped down, or there is no configuration yet.
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

// endCampaign takes the leadership if the stores granted it and no higher epoch, which
// would belong to another registry, was seen in the meantime.
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
	r.planner.nextPlan = now.Add(min(r.options.PlanInterval, firstPlanDelay))
	r.Log(event.LevelInfo, logLeadershipAcquired, "election", plannerElection, "epoch", formatUint(term.Epoch))
}
