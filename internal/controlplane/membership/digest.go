package membership

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// parts is into how many parts a roll is summed up: of 1,600 members one that
	// differs costs a part of 25.
	parts = 64
	// compareEvery is how often at most a roll is compared with one peer's. What
	// just changed is on its way to both by itself.
	compareEvery = time.Second
	// differFor is how long it must differ from one that was compared before.
	differFor = 1200 * time.Millisecond
	// relayMost bounds the members of one relayed message.
	relayMost = 64
)

func part(id ids.Daemon) int { return int(place(id) % parts) }

// imprint sums up one member, so that a part's sum is the exclusive or of its
// members' and changes with each of them alone.
func imprint(m Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.ID))
	gone := uint64(0)
	if m.Gone {
		gone = 1
	}
	var raw [24]byte
	binary.BigEndian.PutUint64(raw[:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(raw[8:], uint64(m.Sequence))
	binary.BigEndian.PutUint64(raw[16:], gone)
	h.Write(raw[:])
	return h.Sum64()
}

// fold sums up the whole roll from its parts.
func (r *List) fold() uint64 {
	h := fnv.New64a()
	var raw [8]byte
	for _, p := range r.parts {
		binary.BigEndian.PutUint64(raw[:], p)
		h.Write(raw[:])
	}
	return h.Sum64()
}

// differ answers a peer whose roll isn't ours: with the whole, or, where that
// would cost too much, with what the parts come to.
func (r *List) differ(now ids.Time, peer Member) {
	if !r.Incremental {
		r.out.Send(peer.Address, Snapshot{Members: r.All()})
		return
	}
	if at, ok := r.asked[peer.ID]; ok && now.Since(at) < compareEvery {
		return
	}
	// What changed just now is on its way to both; what differs for longer got lost.
	since, ok := r.differs[peer.ID]
	if !ok {
		r.differs[peer.ID] = now
	}
	if _, met := r.asked[peer.ID]; met && (!ok || now.Since(since) < differFor) {
		return
	}
	r.asked[peer.ID] = now
	r.out.Send(peer.Address, Digest{Parts: r.parts[:]})
}

// compare answers an outline with our members of the parts that differ.
func (r *List) compare(from ids.Address, o Digest) {
	if len(o.Parts) != parts {
		return
	}
	p := Delta{}
	for i, sum := range o.Parts {
		if sum != r.parts[i] {
			p.Parts = append(p.Parts, uint16(i))
		}
	}
	if len(p.Parts) > 0 {
		p.Members = r.within(p.Parts)
		r.out.Send(from, p)
	}
}

// within gives our members of some parts.
func (r *List) within(list []uint16) []Member {
	var in [parts]bool
	for _, i := range list {
		if int(i) < parts {
			in[i] = true
		}
	}
	var out []Member
	for _, m := range r.All() {
		if in[part(m.ID)] {
			out = append(out, m)
		}
	}
	return out
}

// take merges a portion and answers with what its sender lacks.
func (r *List) take(from ids.Address, p Delta) {
	theirs := map[ids.Daemon]Member{}
	for _, m := range p.Members {
		theirs[m.ID] = m
	}
	r.merge(p.Members)
	if p.Final {
		return
	}
	back := Delta{Final: true}
	for _, m := range r.within(p.Parts) {
		if have, ok := theirs[m.ID]; !ok || m.newer(have) {
			back.Members = append(back.Members, m)
		}
	}
	if len(back.Members) > 0 {
		r.out.Send(from, back)
	}
}

// introduce tells a registry of ourselves at once; it relays that to the rest.
func (r *List) introduce(f Member) {
	if f.ID != r.Self.ID {
		r.out.Send(f.Address, Delta{Members: []Member{r.Self}, Final: true})
	}
}

// Changed gives the members that changed since it was last asked, for a registry
// to relay; nil where copies are told whole.
func (r *List) Changed() []Member {
	seen := map[ids.Daemon]bool{}
	var out []Member
	for len(r.changed) > 0 && len(out) < relayMost {
		id := r.changed[0]
		r.changed = r.changed[1:]
		if m, ok := r.members[id]; ok && !seen[id] {
			seen[id] = true
			out = append(out, m)
		}
	}
	return out
}
