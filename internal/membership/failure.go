package membership

import (
	"slices"
	"time"

	"dunlinwell/internal/ids"
)

func (r *List) suspected(now ids.Time, id ids.Daemon) bool {
	for _, d := range r.suspicions[id] {
		if now.Since(d.at) < 2*r.SuspectAfter {
			return true
		}
	}
	return false
}

// judge marks those whose watchers, less the doubted ones, mostly doubt them.
func (r *List) declareDead(now ids.Time) {
	stand := r.livingMembers()
	for _, m := range stand {
		if len(r.suspicions[m.ID]) == 0 {
			continue
		}
		voters, votes := 0, 0
		for _, w := range watchers(stand, m.ID, r.Watchers) {
			d, said := r.suspicions[m.ID][w.ID]
			fresh := said && d.incarnation == m.Incarnation && now.Since(d.at) < 2*r.SuspectAfter
			// A watcher that is itself in doubt can't be waited for.
			if !fresh && r.suspected(now, w.ID) {
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
			delete(r.suspicions, m.ID)
			r.out.Log("warn", "member gone", "member", string(m.ID), "votes", itoa(uint64(votes)), "watchers", itoa(uint64(voters)))
			r.spread()
		}
	}
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

// Clock does what time asks for.
func (r *List) Tick(now ids.Time) {
	defer r.publish()
	if r.Self.Role != Registry {
		r.changed = nil
	}
	if now < r.beat {
		return
	}
	// After a freeze the silence was ours: doubt nobody until a fresh span.
	if r.beat != 0 && now.Since(r.beat) > r.SuspectAfter/2 {
		for id := range r.heard {
			r.heard[id] = now
		}
		clear(r.suspicions)
	}
	r.beat = now.Add(r.HeartbeatEvery)
	stand := r.livingMembers()
	for _, w := range watchers(stand, r.Self.ID, r.Watchers) {
		r.out.Send(w.Address, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
	r.watch(now, stand)
	// A registry that no majority speaks to may itself be the one cut off.
	if r.Self.Role == Registry && (r.MayDeclareDead == nil || r.MayDeclareDead(now)) {
		r.declareDead(now)
	}
	if now >= r.nextSeedCall {
		r.nextSeedCall = now.Add(4 * r.HeartbeatEvery)
		r.call(stand)
	}
}

// watch doubts those who should be heard and are not.
func (r *List) watch(now ids.Time, stand []Member) {
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
		if now.Since(at) < r.SuspectAfter {
			continue
		}
		s := Suspect{Watcher: r.Self.ID, ID: m.ID, Incarnation: m.Incarnation}
		r.suspect(now, s)
		for _, f := range stand {
			if f.Role == Registry && f.ID != r.Self.ID {
				r.out.Send(f.Address, s)
			}
		}
	}
}

// strangers gives the seeds that aren't known: all, or one in turn once others
// are, so that a fleet that starts as one doesn't drown its seeds.
func (r *List) strangers(known map[ids.Address]bool) []ids.Address {
	var out []ids.Address
	for _, s := range r.Seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	if r.Incremental && len(out) > 1 && len(r.members) > 1 {
		r.knocks++
		return out[r.knocks%len(out):][:1]
	}
	return out
}

// call greets seeds and, in turn, one of the gone, so that halves rejoin.
func (r *List) call(stand []Member) {
	known := map[ids.Address]bool{r.Self.Address: true}
	for _, m := range stand {
		known[m.Address] = true
	}
	for _, s := range r.strangers(known) {
		r.out.Send(s, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
	var lost []Member
	for _, m := range r.All() {
		if m.Gone && !known[m.Address] {
			lost = append(lost, m)
		}
	}
	if len(lost) > 0 {
		m := lost[int(r.Self.Sequence+ids.Sequence(r.version)+ids.Sequence(r.nextSeedCall/ids.Time(time.Second)))%len(lost)]
		r.out.Send(m.Address, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
}
