package rollcall

import (
	"slices"
	"time"

	"dunlinwell/internal/ticket"
)

func (r *Roll) doubted(now ticket.Tick, id ticket.Daemon) bool {
	for _, d := range r.doubts[id] {
		if now.Since(d.at) < 2*r.Silence {
			return true
		}
	}
	return false
}

// judge marks those whose watchers, less the doubted ones, mostly doubt them.
func (r *Roll) judge(now ticket.Tick) {
	stand := r.standing()
	for _, m := range stand {
		if len(r.doubts[m.ID]) == 0 {
			continue
		}
		voters, votes := 0, 0
		for _, w := range watchers(stand, m.ID, r.Watchers) {
			d, said := r.doubts[m.ID][w.ID]
			fresh := said && d.incarnation == m.Incarnation && now.Since(d.at) < 2*r.Silence
			// A watcher that is itself in doubt can't be waited for.
			if !fresh && r.doubted(now, w.ID) {
				continue
			}
			voters++
			if fresh {
				votes++
			}
		}
		if votes*2 > voters {
			m.Gone = true
			r.set(m)
			delete(r.doubts, m.ID)
			r.out.Say("warn", "member gone", "member", string(m.ID), "votes", itoa(uint64(votes)), "watchers", itoa(uint64(voters)))
			r.spread()
		}
	}
}

func (r *Roll) spread() {
	if r.Thrifty {
		// What changed is relayed with the next clock event.
		return
	}
	all := r.All()
	for _, m := range all {
		if m.ID != r.Self.ID && !m.Gone {
			r.out.Tell(m.Address, Copy{Members: all, Final: true})
		}
	}
}

// Clock does what time asks for.
func (r *Roll) Clock(now ticket.Tick) {
	defer r.publish()
	if r.Self.Role != Foreman {
		r.changed = nil
	}
	if now < r.beat {
		return
	}
	// After a freeze the silence was ours: doubt nobody until a fresh span.
	if r.beat != 0 && now.Since(r.beat) > r.Silence/2 {
		for id := range r.heard {
			r.heard[id] = now
		}
		clear(r.doubts)
	}
	r.beat = now.Add(r.Beat)
	stand := r.standing()
	for _, w := range watchers(stand, r.Self.ID, r.Watchers) {
		r.out.Tell(w.Address, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
	r.watch(now, stand)
	// A foreman that no majority speaks to may itself be the one cut off.
	if r.Self.Role == Foreman && (r.MayJudge == nil || r.MayJudge(now)) {
		r.judge(now)
	}
	if now >= r.knock {
		r.knock = now.Add(4 * r.Beat)
		r.call(stand)
	}
}

// watch doubts those who should be heard and are not.
func (r *Roll) watch(now ticket.Tick, stand []Member) {
	for _, m := range stand {
		if m.ID == r.Self.ID || !slices.ContainsFunc(watchers(stand, m.ID, r.Watchers), func(w Member) bool { return w.ID == r.Self.ID }) {
			delete(r.heard, m.ID)
			continue
		}
		at, ok := r.heard[m.ID]
		if !ok {
			r.heard[m.ID] = now
			continue
		}
		if now.Since(at) < r.Silence {
			continue
		}
		s := Suspect{Watcher: r.Self.ID, ID: m.ID, Incarnation: m.Incarnation}
		r.doubt(now, s)
		for _, f := range stand {
			if f.Role == Foreman && f.ID != r.Self.ID {
				r.out.Tell(f.Address, s)
			}
		}
	}
}

// strangers gives the seeds that aren't known: all, or one in turn once others
// are, so that a fleet that starts as one doesn't drown its seeds.
func (r *Roll) strangers(known map[ticket.Address]bool) []ticket.Address {
	var out []ticket.Address
	for _, s := range r.Seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	if r.Thrifty && len(out) > 1 && len(r.members) > 1 {
		r.knocks++
		return out[r.knocks%len(out):][:1]
	}
	return out
}

// call greets seeds and, in turn, one of the gone, so that halves rejoin.
func (r *Roll) call(stand []Member) {
	known := map[ticket.Address]bool{r.Self.Address: true}
	for _, m := range stand {
		known[m.Address] = true
	}
	for _, s := range r.strangers(known) {
		r.out.Tell(s, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
	var lost []Member
	for _, m := range r.All() {
		if m.Gone && !known[m.Address] {
			lost = append(lost, m)
		}
	}
	if len(lost) > 0 {
		m := lost[int(r.Self.Sequence+ticket.Sequence(r.version)+ticket.Sequence(r.knock/ticket.Tick(time.Second)))%len(lost)]
		r.out.Tell(m.Address, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
}
