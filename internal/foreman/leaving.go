package foreman

import (
	"time"

	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// parting is a target's word that it leaves, which waits for its answer until
// every live counter goes by it: this foreman may die right after answering,
// and the target may stop as soon as it has the answer.
type parting struct {
	call   uint64
	target yard.Target
	due    ticket.Tick
	// waits are the other foremen that have not said yet that theirs go by it.
	waits map[ticket.Daemon]bool
}

// partWithin bounds the wait. The answer says whether all have it.
const partWithin = 500 * time.Millisecond

// announced takes a target's word.
func (f *Foreman) announced(now ticket.Tick, c AnnounceCall) {
	if f.params.Thrifty {
		c.Target.Keeper, c.Target.Run = f.Self.ID, f.Self.Start
	}
	changed := f.Yard.Merge(now, c.Target)
	f.taken(now, changed)
	f.tellForemen(changed)
	if !c.Target.Usable() && (len(changed) > 0 || f.params.Thrifty) {
		p := parting{call: c.ID, target: c.Target, due: now.Add(partWithin), waits: map[ticket.Daemon]bool{}}
		f.askParting(now, p)
		f.partings = append(f.partings, p)
		f.part(now)
		return
	}
	if f.params.Thrifty && f.apart(now) {
		// Its word is taken, but the other foremen wouldn't hear of it and would
		// soon count it as gone: it is sent on to one of them.
		f.unreached(c.ID)
		return
	}
	body := map[string]any{"known": len(changed) > 0}
	if at := f.keeperFor(now, c.Target); at != "" {
		body["keeper"] = at
	}
	f.Do(Response{ID: c.ID, Status: 200, Body: body})
}

// shareTargets keeps the other foremen up to date with all targets. Thrifty ones
// tell one another of changes, and by their pulses whether one was lost.
func (f *Foreman) shareTargets(now ticket.Tick) {
	if !f.params.Thrifty {
		f.tellForemen(f.Yard.All(now))
	}
}

// shared takes what another foreman tells of targets, and tells all where this
// one knows better.
func (f *Foreman) shared(now ticket.Tick, list []yard.Target) {
	changed := f.Yard.Merge(now, list...)
	f.taken(now, changed)
	if !f.params.Thrifty {
		return
	}
	gone := map[ticket.Instance]bool{}
	for _, t := range list {
		gone[t.Instance] = t.Gone
	}
	var insist []yard.Target
	for _, t := range changed {
		if !t.Gone && gone[t.Instance] {
			insist = append(insist, t)
		}
	}
	f.tellForemen(insist)
}

// keeperFor names the foreman that a target should speak to: one of its own
// cell or region, so that its words go no further than they have to, and by lot
// where several stand as near.
func (f *Foreman) keeperFor(now ticket.Tick, t yard.Target) ticket.Address {
	if !f.params.Thrifty {
		return ""
	}
	f.served(now)
	var best rollcall.Member
	for _, m := range f.group {
		d, have := f.view.Distance(t.Cell, m.Cell), f.view.Distance(t.Cell, best.Cell)
		if best.ID == "" || d < have || d == have && lot(ticket.Daemon(t.Instance), m.ID) < lot(ticket.Daemon(t.Instance), best.ID) {
			best = m
		}
	}
	return best.Address
}

// gone takes a target's word that it ends, where it says no more than its name.
func (f *Foreman) gone(now ticket.Tick, c GoneCall) {
	t, ok := f.Yard.Get(now, c.Instance)
	if !ok {
		f.Do(Response{ID: c.ID, Status: 200, Body: map[string]any{"known": false}})
		return
	}
	if !t.Gone {
		t.Sequence, t.Gone, t.Leaving = f.Yard.Newest(c.Instance)+1, true, true
	}
	f.announced(now, AnnounceCall{ID: c.ID, Target: t})
}

// part answers those whose word has reached every counter, or is overdue.
func (f *Foreman) part(now ticket.Tick) {
	left := f.partings[:0]
	for _, p := range f.partings {
		switch {
		case len(p.waits) == 0 && f.Rounds.Reached(f.served(now), p.target):
			f.Do(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": true}})
		case now >= p.due:
			f.Do(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": false}})
		default:
			left = append(left, p)
		}
	}
	f.partings = left
	owes := f.owes[:0]
	for _, o := range f.owes {
		if f.Rounds.Reached(f.served(now), o.Target) {
			f.Tell(o.Asker, Parted{ID: f.Self.ID, Instance: o.Target.Instance, Sequence: o.Target.Sequence})
		} else if len(f.owes) < mostOwed {
			owes = append(owes, o)
		}
	}
	f.owes = owes
}

// mostOwed bounds what is kept for askers that may be gone.
const mostOwed = 4096

// askParting asks the foremen that serve counters beside this one.
func (f *Foreman) askParting(now ticket.Tick, p parting) {
	if !f.params.Thrifty {
		return
	}
	f.served(now)
	for _, m := range f.group {
		if m.ID != f.Self.ID {
			p.waits[m.ID] = true
			f.Tell(m.Address, Parting{Asker: f.Self.Address, Target: p.target})
		}
	}
}

// parted takes another foreman's word that all whom it serves go by it.
func (f *Foreman) parted(now ticket.Tick, m Parted) {
	for _, p := range f.partings {
		if p.target.Instance == m.Instance && p.target.Sequence <= m.Sequence {
			delete(p.waits, m.ID)
		}
	}
	f.part(now)
}
