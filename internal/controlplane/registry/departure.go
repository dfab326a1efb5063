package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// parting is a target's word that it leaves, which waits for its answer until
// every live proxy goes by it: this registry may die right after answering,
// and the target may stop as soon as it has the answer.
type departure struct {
	call    uint64
	target  targets.Target
	arrived ids.Time
	due     ids.Time
	// waits are the other registries that have not said yet that theirs go by it.
	waits map[ids.Daemon]bool
}

// partWithin bounds the wait. The answer says whether all have it.
const departureWithin = 500 * time.Millisecond

// announced takes a target's word.
func (f *Registry) announced(now ids.Time, c HeartbeatCall) {
	if f.params.Incremental {
		// The one that it is told to speak to keeps it, from the first word on:
		// a keeper that changes is news for everybody.
		if old, ok := f.Targets.Get(now, c.Target.Instance); ok {
			c.Target.Keeper = old.Keeper
		}
		k := f.keeperFor(now, c.Target)
		c.Target.Keeper, c.Target.Run = k.ID, k.Start
	}
	changed := f.Targets.Merge(now, c.Target)
	f.taken(now, changed)
	f.tellRegistries(changed)
	if !c.Target.Usable() && (len(changed) > 0 || f.params.Incremental) {
		// What proxies have to hold is the word at which it changed to them.
		if f.params.Incremental {
			c.Target.Sequence = f.Targets.MaterialSequence(c.Target.Instance)
		}
		p := departure{call: c.ID, target: c.Target, arrived: now, due: now.Add(departureWithin), waits: map[ids.Daemon]bool{}}
		f.askParting(now, p)
		f.departures = append(f.departures, p)
		f.part(now)
		return
	}
	if !f.leased(now) || f.params.Incremental && f.isolated(now) {
		// Its word is taken, but the other registries wouldn't hear of it and would
		// soon count it as gone: it is sent on to one of them.
		f.unavailable(c.ID)
		return
	}
	body := map[string]any{"known": len(changed) > 0}
	if k := f.keeperFor(now, c.Target); k.Address != "" {
		body["keeper"] = k.Address
	}
	f.Emit(Response{ID: c.ID, Status: 200, Body: body})
}

// shareTargets keeps the other registries up to date with all targets. Thrifty ones
// tell one another of changes, and by their pulses whether one was lost.
func (f *Registry) shareTargets(now ids.Time) {
	if !f.params.Incremental {
		f.tellRegistries(f.Targets.All(now))
	}
}

// shared takes what another registry tells of targets, and tells all where this
// one knows better.
func (f *Registry) shared(now ids.Time, list []targets.Target) {
	changed := f.Targets.Merge(now, list...)
	f.taken(now, changed)
	if !f.params.Incremental {
		return
	}
	gone := map[ids.Instance]bool{}
	for _, t := range list {
		gone[t.Instance] = t.Gone
	}
	var insist []targets.Target
	for _, t := range changed {
		if !t.Gone && gone[t.Instance] {
			insist = append(insist, t)
		}
	}
	f.tellRegistries(insist)
}

// keeperFor names the registry that a target should speak to: one of its own
// cell or region, so that its words go no further than they have to, and by lot
// where several stand as near.
func (f *Registry) keeperFor(now ids.Time, t targets.Target) membership.Member {
	if !f.params.Incremental {
		return membership.Member{}
	}
	f.served(now)
	var best membership.Member
	for _, m := range f.group {
		d, have := f.view.Distance(t.Cell, m.Zone), f.view.Distance(t.Cell, best.Zone)
		if best.ID == "" || d < have || d == have && f.preferred(t, m.ID, best.ID) {
			best = m
		}
	}
	return best
}

// preferred tells which of two registries that are as near keeps a target: the
// one that does already, or else by lot.
func (f *Registry) preferred(t targets.Target, a, b ids.Daemon) bool {
	if t.Keeper == a || t.Keeper == b {
		return t.Keeper == a
	}
	return lot(ids.Daemon(t.Instance), a) < lot(ids.Daemon(t.Instance), b)
}

// gone takes a target's word that it ends, where it says no more than its name.
func (f *Registry) gone(now ids.Time, c DeregisterCall) {
	t, ok := f.Targets.Get(now, c.Instance)
	if !ok && !f.leased(now) {
		f.unavailable(c.ID)
		return
	}
	if !ok {
		f.Emit(Response{ID: c.ID, Status: 200, Body: map[string]any{"known": false}})
		return
	}
	if !t.Gone {
		t.Sequence, t.Gone, t.Leaving = f.Targets.Newest(c.Instance)+1, true, true
	}
	f.announced(now, HeartbeatCall{ID: c.ID, Target: t})
}

// part answers those whose word has reached every proxy, or is overdue.
func (f *Registry) part(now ids.Time) {
	left := f.departures[:0]
	for _, p := range f.departures {
		switch {
		case f.leased(now) && len(p.waits) == 0 && f.Distributor.Reached(f.served(now), p.target):
			f.Emit(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": true}})
		case now >= p.due && f.agreedSince(p.arrived):
			f.Emit(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": false}})
		case now.Since(p.arrived) >= answerWithin:
			// The proxies on this side go by it; nobody may take it as known to all.
			f.unavailable(p.call)
		default:
			left = append(left, p)
		}
	}
	f.departures = left
	owes := f.owes[:0]
	for _, o := range f.owes {
		if f.Distributor.Reached(f.served(now), o.Target) {
			f.Send(o.Asker, DepartureAck{ID: f.Self.ID, Instance: o.Target.Instance, Sequence: o.Target.Sequence, Incarnation: o.Target.Incarnation})
		} else if len(f.owes) < mostOwed {
			owes = append(owes, o)
		}
	}
	f.owes = owes
}

// mostOwed bounds what is kept for askers that may be gone.
const mostOwed = 4096

// askParting asks the registries that serve proxies beside this one.
func (f *Registry) askParting(now ids.Time, p departure) {
	if !f.params.Incremental {
		return
	}
	f.served(now)
	for _, m := range f.group {
		if m.ID != f.Self.ID {
			p.waits[m.ID] = true
			f.Send(m.Address, DepartureNotice{Asker: f.Self.Address, Target: p.target})
		}
	}
}

// covers tells whether an acknowledgement is for this word of a target or for a
// later one. A registry of an earlier version doesn't say the incarnation.
func (m DepartureAck) covers(t targets.Target) bool {
	same := m.Incarnation == t.Incarnation || m.Incarnation == 0
	return m.Instance == t.Instance && same && m.Sequence >= t.Sequence
}

// parted takes another registry's word that all whom it serves go by it.
func (f *Registry) parted(now ids.Time, m DepartureAck) {
	for _, p := range f.departures {
		if m.covers(p.target) {
			delete(p.waits, m.ID)
		}
	}
	f.part(now)
}
