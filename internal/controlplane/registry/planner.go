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
	// retakeAfter is how long a registry leaves the duty of planner alone that it
	// has just given up: failure detection that wavers must not have it change
	// hands with each verdict.
	retakeAfter = 2 * time.Second
	// settleAfter is how long a registry that was frozen listens before it plans.
	settleAfter = 2 * time.Second
	// passOverAfter is how long a run waits before it passes over those who say that
	// they reach no majority: where all start at once, none of them does at first.
	passOverAfter = 5 * time.Second
)

// raise notes a higher epoch; what is under a lower one is rejected from then on.
func (f *Registry) raise(now ids.Time, e ids.Epoch) {
	f.epoch = max(f.epoch, e)
	if f.mine != 0 && f.epoch > f.mine {
		f.giveUpDuty(now, "duty lost")
	}
}

func (f *Registry) giveUpDuty(now ids.Time, how event.LogEvent) {
	f.Log(event.LevelInfo, how, "duty", "planner", "epoch", itoa(uint64(f.mine)))
	f.mine, f.gaveUp = 0, now
}

// Planning gives the epoch under which this registry plans, if it does.
func (f *Registry) Planning() (ids.Epoch, bool) { return f.mine, f.mine != 0 }

// planning takes the duty when it is this registry's turn, and plans.
func (f *Registry) planning(now ids.Time) {
	if !f.firstInLine(now) {
		if f.mine != 0 {
			f.giveUpDuty(now, "duty given up")
		}
		return
	}
	if f.mine == 0 {
		f.takeDuty(now)
		return
	}
	if now >= f.repeat {
		f.repeat = now.Add(time.Second)
		f.spreadTable()
	}
	if now >= f.next {
		f.next = now.Add(f.options.PlanEvery)
		f.plan(now)
		f.spreadTable()
	}
}

// firstInLine tells whether the duty is this registry's: it holds the control
// lease, and is the first of those that say that they reach a majority. One that
// is heard but hears nothing says that it doesn't, and gives the duty up itself.
func (f *Registry) firstInLine(now ids.Time) bool {
	if f.stopping || !f.leased(now) || now.Sub(f.woke) <= settleAfter {
		return false
	}
	for _, m := range f.Live(membership.Registry) {
		if m.ID == f.Self.ID {
			return true
		}
		if m.Ready || now.Sub(f.began) < passOverAfter {
			return false
		}
	}
	return false
}

func (f *Registry) takeDuty(now ids.Time) {
	recent := f.gaveUp != 0 && now.Sub(f.gaveUp) < retakeAfter
	if f.taking || recent || f.view.Revision == 0 {
		return
	}
	f.taking = true
	raw, _ := wire.Encode(election.Term{Holder: f.Self.ID, RunID: f.Self.RunID, Epoch: f.epoch})
	f.Client.Call(now, election.RegisterKey("planner"), election.OpAcquire, raw, 2*time.Second, func(at ids.Time, s consensus.Outcome, out []byte) {
		f.taking = false
		term, ok := election.DecodeTerm(out)
		mine := ok && term.Holder == f.Self.ID && term.RunID == f.Self.RunID
		// A higher epoch was heard of meanwhile: another holds the duty, or held it.
		if s != consensus.Succeeded || !mine || term.Epoch < f.epoch {
			return
		}
		f.raise(at, term.Epoch)
		f.mine, f.table.Epoch = term.Epoch, term.Epoch
		f.next = at.Add(min(f.options.PlanEvery, 5*time.Second))
		f.Log(event.LevelInfo, "duty taken", "duty", "planner", "epoch", itoa(uint64(term.Epoch)))
	})
}
