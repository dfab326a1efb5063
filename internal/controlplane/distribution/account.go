package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

type flight struct {
	stamp
	revision ids.Revision
	// until is when it is sent again, if nothing has come back.
	until ids.Time
	// number is the push that a policy was in.
	number ids.Number
}

// due tells whether a thing in flight is to be sent again.
func (a *account) due(now ids.Time, f flight, same bool) bool {
	return !same || now >= f.until
}

// lacking gives what a proxy lacks and isn't in flight to it.
func (r *Distributor) lacking(now ids.Time, c membership.Member, a *account, all []targets.Target) ([]targets.Target, []stamp) {
	spare := r.Spare != nil && r.Spare(c)
	a.held = false
	var list []targets.Target
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
		list, in = append(list, t), append(in, s)
	}
	until := now.Add(a.patience + time.Duration(len(in))*perTarget)
	for _, s := range in {
		a.flying[s.id] = flight{stamp: s, until: until}
	}
	return list, in
}

// HasAll notes that a proxy goes by all of these, as its own sum showed.
func (r *Distributor) HasAll(c ids.Daemon, start ids.RunID, list []targets.Target) {
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

// Knows tells whether a proxy is known to go by what is of some version.
func (r *Distributor) IsCurrent(c ids.Daemon, start ids.RunID) bool {
	a := r.list[c]
	return a != nil && a.start == start && len(a.open) == 0 && !a.held
}

// Lag tells who among the proxies hasn't acknowledged a revision, and for
// how long a proxy has said nothing at all.
func (r *Distributor) Lag(proxies []membership.Member, rev ids.Revision) []ids.Daemon {
	var out []ids.Daemon
	for _, c := range proxies {
		if a := r.list[c.ID]; a == nil || a.start != c.Start || a.revision < rev {
			out = append(out, c.ID)
		}
	}
	return out
}

// Reached tells whether every proxy has acknowledged that a target leaves.
func (r *Distributor) Reached(proxies []membership.Member, t targets.Target) bool {
	for _, c := range proxies {
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

// Fresh tells whether a proxy has acknowledged anything of late.
func (r *Distributor) Fresh(now ids.Time, c membership.Member, within time.Duration) bool {
	a := r.list[c.ID]
	return a != nil && a.start == c.Start && a.acked > 0 && now.Since(a.ackedAt) <= within
}

// Has gives the revision that a proxy acknowledged.
func (r *Distributor) Has(c membership.Member) ids.Revision {
	if a := r.list[c.ID]; a != nil && a.start == c.Start {
		return a.revision
	}
	return 0
}
