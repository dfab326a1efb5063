package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Tick does what time asks for.
func (r *List) Tick(now ids.Time) {
	defer r.publish()
	if r.Self.Role != Registry {
		r.changed = nil
	}
	r.excuse(now)
	r.watch(now)
	// A registry that no majority speaks to may itself be the one cut off.
	if r.Self.Role == Registry && (r.MayDeclareDead == nil || r.MayDeclareDead(now)) {
		r.declareDead(now)
	}
	if now < r.beat {
		return
	}
	r.beat = now.Add(r.HeartbeatEvery)
	stand := r.livingMembers()
	for _, w := range r.ringOf().watchers(r.Self.ID, r.Watchers) {
		r.out.Send(w.Address, Heartbeat{Self: r.Self, Digest: r.sum()})
	}
	if now >= r.nextSeedCall {
		r.nextSeedCall = now.Add(4 * r.HeartbeatEvery)
		r.forgetWords(now)
		r.call(stand)
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
		r.seedCalls++
		return out[r.seedCalls%len(out):][:1]
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
