package foreman

import (
	"maps"
	"slices"
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
}

// partWithin bounds the wait. The answer says whether all have it.
const partWithin = 500 * time.Millisecond

// announced takes a target's word.
func (f *Foreman) announced(now ticket.Tick, c AnnounceCall) {
	changed := f.Yard.Merge(now, c.Target)
	f.taken(now, changed)
	f.tellForemen(changed)
	if f.beats == nil {
		f.beats = map[ticket.Instance]yard.Target{}
	}
	f.beats[c.Target.Instance] = c.Target
	if !c.Target.Usable() && (len(changed) > 0 || f.params.Thrifty) {
		f.partings = append(f.partings, parting{c.ID, c.Target, now.Add(partWithin)})
		f.part(now)
		return
	}
	if f.params.Thrifty && f.apart(now) {
		// Its word is taken, but the other foremen wouldn't hear of it and would
		// soon count it as gone: it is sent on to one of them.
		f.unreached(c.ID)
		return
	}
	f.Do(Response{ID: c.ID, Status: 200, Body: map[string]any{"known": len(changed) > 0}})
}

// shareTargets keeps the other foremen up to date: with all targets, or with
// those that told this one something since.
func (f *Foreman) shareTargets(now ticket.Tick) {
	if !f.params.Thrifty {
		f.tellForemen(f.Yard.All(now))
		return
	}
	var list []yard.Target
	for _, id := range slices.Sorted(maps.Keys(f.beats)) {
		list = append(list, f.beats[id])
	}
	f.beats = nil
	f.tellForemen(list)
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
		case f.Rounds.Reached(f.Live(rollcall.Counter), p.target):
			f.Do(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": true}})
		case now >= p.due:
			f.Do(Response{ID: p.call, Status: 200, Body: map[string]any{"known": true, "everywhere": false}})
		default:
			left = append(left, p)
		}
	}
	f.partings = left
}
