package rounds

import (
	"time"

	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

type flight struct {
	stamp
	revision ticket.Revision
	// until is when it is sent again, if nothing has come back.
	until ticket.Tick
}

// due tells whether a thing in flight is to be sent again.
func (a *account) due(now ticket.Tick, f flight, same bool) bool {
	return !same || now >= f.until
}

// lacking gives what a counter lacks and isn't in flight to it.
func (r *Rounds) lacking(now ticket.Tick, c rollcall.Member, a *account, all []yard.Target) ([]yard.Target, []stamp) {
	spare := r.Spare != nil && r.Spare(c)
	a.held = false
	var list []yard.Target
	var in []stamp
	for _, t := range all {
		s := stampOf(t)
		f, flies := a.flying[t.Instance]
		same := flies && f.stamp == s
		switch {
		case a.has[t.Instance] == s:
			continue
		case !same && spare && t.Usable():
			// As if it had been sent, so that it goes once the time for that is over.
			a.flying[t.Instance] = flight{stamp: s, until: now.Add(holdBack)}
			a.held = true
			continue
		case !a.due(now, f, same):
			a.held = true
			continue
		}
		a.flying[t.Instance] = flight{stamp: s, until: now.Add(a.patience)}
		list, in = append(list, t), append(in, s)
	}
	return list, in
}

// HasAll notes that a counter goes by all of these, as its own sum showed.
func (r *Rounds) HasAll(c ticket.Daemon, start ticket.Start, list []yard.Target) {
	a := r.list[c]
	if a == nil || a.start != start {
		return
	}
	for _, t := range list {
		a.has[t.Instance] = stampOf(t)
	}
	clear(a.open)
	clear(a.flying)
	a.held = false
}

// Knows tells whether a counter is known to go by what is of some version.
func (r *Rounds) Knows(c ticket.Daemon, start ticket.Start) bool {
	a := r.list[c]
	return a != nil && a.start == start && len(a.open) == 0 && !a.held
}

// Lag tells who among the counters hasn't acknowledged a revision, and for
// how long a counter has said nothing at all.
func (r *Rounds) Lag(counters []rollcall.Member, rev ticket.Revision) []ticket.Daemon {
	var out []ticket.Daemon
	for _, c := range counters {
		if a := r.list[c.ID]; a == nil || a.start != c.Start || a.revision < rev {
			out = append(out, c.ID)
		}
	}
	return out
}

// Reached tells whether every counter has acknowledged that a target leaves.
func (r *Rounds) Reached(counters []rollcall.Member, t yard.Target) bool {
	for _, c := range counters {
		a := r.list[c.ID]
		if a == nil || a.start != c.Start {
			return false
		}
		if s := a.has[t.Instance]; s.incarnation < t.Incarnation || s.incarnation == t.Incarnation && s.sequence < t.Sequence {
			return false
		}
	}
	return true
}

// Fresh tells whether a counter has acknowledged anything of late.
func (r *Rounds) Fresh(now ticket.Tick, c rollcall.Member, within time.Duration) bool {
	a := r.list[c.ID]
	return a != nil && a.start == c.Start && a.acked > 0 && now.Since(a.ackedAt) <= within
}

// Has gives the revision that a counter acknowledged.
func (r *Rounds) Has(c rollcall.Member) ticket.Revision {
	if a := r.list[c.ID]; a != nil && a.start == c.Start {
		return a.revision
	}
	return 0
}
