package membership

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// suspicion is one daemon's word that another is silent.
type suspicion struct {
	incarnation ids.Incarnation
	at          ids.Time
	silence     time.Duration
}

// accusation is all that a registry knows against one member.
type accusation struct {
	by map[ids.DaemonID]suspicion
	// asked is when this registry first asked the member itself, and probed when
	// it did so last.
	asked, probed ids.Time
	// mistakes is how often this registry was wrong about this run of the member.
	mistakes int
}

const (
	// mostMistakes bounds how much longer a member is given that was declared dead
	// and wasn't.
	mostMistakes = 2
	// forgetMistake is how long such a verdict is remembered.
	forgetMistake = 30 * time.Second
)

// burial is a verdict that this registry passed.
type burial struct {
	start    ids.RunID
	at       ids.Time
	mistakes int
}

// mistakesWith tells how often this registry declared a run dead that is here.
func (r *List) mistakesWith(now ids.Time, m Member) int {
	b, ok := r.buried[m.ID]
	if !ok || b.start != m.RunID || now.Sub(b.at) > forgetMistake {
		return 0
	}
	return min(b.mistakes, mostMistakes)
}

// dismiss drops what was said against a member that showed itself. When it was
// probed last stays, so that it isn't probed without a pause.
func (a *accusation) dismiss() {
	clear(a.by)
	a.asked = 0
}

// wait is how long the member is given to answer: as much longer than probeWait
// as it was given by those who accuse it.
func (a *accusation) wait(suspectAfter time.Duration) time.Duration {
	longest := suspectAfter
	for _, s := range a.by {
		longest = max(longest, s.silence)
	}
	return probeWait * min(longest, maxPatience*suspectAfter) / suspectAfter << a.mistakes
}

func (r *List) against(id ids.DaemonID) *accusation {
	a := r.accusations[id]
	if a == nil {
		a = &accusation{by: map[ids.DaemonID]suspicion{}}
		r.accusations[id] = a
	}
	return a
}

func (r *List) suspect(now ids.Time, s Suspect) {
	m, ok := r.members[s.ID]
	if !ok || m.Gone || m.Incarnation != s.Incarnation || s.ID == r.Self.ID {
		return
	}
	r.against(s.ID).by[s.Watcher] = suspicion{s.Incarnation, now, time.Duration(s.Silence) * time.Millisecond}
}

// withdrawn takes a watcher's word that it heard from a member that it accused:
// whatever others say of that member is older.
func (r *List) withdrawn(w Withdraw) {
	if a := r.accusations[w.ID]; a != nil {
		a.dismiss()
	}
}

// fresh tells whether a daemon accuses a member's present incarnation of late.
func (r *List) fresh(now ids.Time, m Member, by ids.DaemonID) bool {
	a := r.accusations[m.ID]
	if a == nil {
		return false
	}
	s, said := a.by[by]
	return said && s.incarnation == m.Incarnation && now.Sub(s.at) < 2*r.SuspectAfter
}

// accused tells whether anybody accuses a member of late.
func (r *List) accused(now ids.Time, m Member) bool {
	a := r.accusations[m.ID]
	if a == nil {
		return false
	}
	for by := range a.by {
		if r.fresh(now, m, by) {
			return true
		}
	}
	return false
}

// quorum is how many witnesses a verdict takes: a majority of the watchers that
// a member has by the size of the fleet. No doubt about a watcher makes it less.
func (r *List) quorum() int {
	return (min(r.Watchers, len(r.ringOf().members)-1) + 1) / 2
}

// votes counts the witnesses against a member: its watchers, and, for each
// watcher that is accused itself and gave this registry no answer, so that it may
// be unable to speak, one of the registries whose own probe of the member was
// left unanswered.
func (r *List) votes(now ids.Time, m Member) (votes, doubted int) {
	standIns := 0
	watchers := r.ringOf().watchers(m.ID, r.Watchers)
	isWatcher := make(map[ids.DaemonID]bool, len(watchers))
	for _, w := range watchers {
		isWatcher[w.ID] = true
		switch {
		case r.fresh(now, m, w.ID):
			votes++
		case r.accused(now, w) && r.silentToUs(now, w):
			doubted++
		}
	}
	for _, f := range r.Live(Registry) {
		if !isWatcher[f.ID] && r.fresh(now, m, f.ID) {
			standIns++
		}
	}
	return votes + min(doubted, standIns), doubted
}

// declareDead is the verdict of a registry over those accused. It asks each of
// them itself first: an answer outweighs every accusation.
func (r *List) declareDead(now ids.Time) {
	if len(r.accusations) == 0 {
		return
	}
	for _, m := range r.livingMembers() {
		if m.ID == r.Self.ID {
			continue
		}
		votes, doubted := r.votes(now, m)
		if !r.accused(now, m) && doubted < r.quorum() {
			delete(r.accusations, m.ID)
			continue
		}
		if !r.unanswered(now, m) {
			continue
		}
		if doubted > 0 && !r.fresh(now, m, r.Self.ID) {
			r.accuse(now, m, r.SuspectAfter)
			votes, doubted = r.votes(now, m)
		}
		if votes >= r.quorum() {
			r.bury(now, m, votes, doubted)
		}
	}
}

// unanswered asks a member for a sign of life, and tells whether it has been
// asked for long enough without giving one.
func (r *List) unanswered(now ids.Time, m Member) bool {
	a := r.against(m.ID)
	a.mistakes = r.mistakesWith(now, m)
	if a.asked != 0 && r.words[m.Address] > a.asked {
		a.dismiss()
		return false
	}
	if a.probed == 0 || now.Sub(a.probed) >= probeEvery {
		if a.asked == 0 || now.Sub(a.probed) > probeExpires {
			a.asked = now
		}
		a.probed = now
		r.out.Send(m.Address, Probe{ID: m.ID})
	}
	return r.silentToUs(now, m)
}

// silentToUs tells whether a member has been asked by this registry for long
// enough without giving a sign of life.
func (r *List) silentToUs(now ids.Time, m Member) bool {
	a := r.accusations[m.ID]
	return a != nil && a.asked != 0 && r.words[m.Address] <= a.asked && now.Sub(a.asked) >= a.wait(r.SuspectAfter)
}

func (r *List) bury(now ids.Time, m Member, votes, doubted int) {
	r.buried[m.ID] = burial{start: m.RunID, at: now, mistakes: r.mistakesWith(now, m) + 1}
	m.Gone = true
	r.set(m)
	delete(r.accusations, m.ID)
	r.out.Log(event.LevelWarn, "member gone", "member", string(m.ID), "votes", itoa(uint64(votes)), "quorum", itoa(uint64(r.quorum())), "doubted", itoa(uint64(doubted)))
	r.spread()
}

func (r *List) spread() {
	if r.Incremental {
		// What changed is relayed with the next clock event.
		return
	}
	all := r.All()
	for _, m := range all {
		if m.ID != r.Self.ID && !m.Gone {
			r.out.Send(m.Address, Snapshot{Members: all, Final: true})
		}
	}
}
