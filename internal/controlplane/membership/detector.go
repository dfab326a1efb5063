package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Probe asks a member for a sign of life. It goes out before a member is accused
// and again before it is declared dead, so that a heartbeat that is late, or that
// goes to another watcher as two lists differ, isn't taken for a death.
type Probe struct{ ID ids.Daemon }

// ProbeReply is that sign of life.
type ProbeReply struct{ Self Member }

// Withdraw takes an accusation back: the watcher has heard from the member since.
type Withdraw struct {
	Watcher ids.Daemon
	ID      ids.Daemon
}

var _ = wire.Register(15, Probe{}) && wire.Register(16, ProbeReply{}) && wire.Register(17, Withdraw{})

const (
	// probeWait is how long a registry gives a member to answer a probe before it
	// may declare it dead.
	probeWait = 600 * time.Millisecond
	// probeEvery is how soon a probe is sent again: one message may be lost.
	probeEvery = 200 * time.Millisecond
	// probeExpires is how long ago the last probe may be for the silence since the
	// first one to count as one.
	probeExpires = 2 * time.Second
	// maxPatience is how many times SuspectAfter a member may be silent whose
	// heartbeats were irregular before.
	maxPatience = 3
	// youngFor is how long a daemon counts as just started.
	youngFor = 6 * time.Second
	// forgetWord is how long the last word from an address is remembered.
	forgetWord = time.Minute
)

// arrivals is the history of one watched member's heartbeats.
type arrivals struct {
	// last is when it was heard last, or since when it is watched.
	last ids.Time
	// mean and deviation are moving averages of the gaps between heartbeats.
	mean, deviation time.Duration
	probed, accused ids.Time
}

// newArrivals is the history of a member that is watched from now on. A daemon
// that has just started may have started with the whole fleet, whose links are full
// of what all tell one another: it takes heartbeats for irregular until it has seen
// some.
func (r *List) newArrivals(now ids.Time) *arrivals {
	a := &arrivals{last: now, mean: r.HeartbeatEvery}
	if now.Since(r.begun) < youngFor {
		a.deviation = r.SuspectAfter / 3
	}
	return a
}

// beat notes a heartbeat. A gap past what is ever waited for says that the member
// was away, and nothing about how regular its heartbeats are.
func (a *arrivals) beat(now ids.Time, longest time.Duration) {
	gap := now.Since(a.last)
	a.last = now
	if gap > longest {
		return
	}
	const weight = 8
	off := gap - a.mean
	a.mean += off / weight
	a.deviation += (max(off, -off) - a.deviation) / weight
}

// patience is how long a member may be silent before it is accused: by its own
// history, and never less than SuspectAfter.
func (r *List) patience(a *arrivals) time.Duration {
	return min(max(2*a.mean+6*a.deviation, r.SuspectAfter), maxPatience*r.SuspectAfter)
}

// heartbeat notes a sign of life that a member sent as such.
func (r *List) heartbeat(now ids.Time, id ids.Daemon) {
	if a := r.heard[id]; a != nil {
		a.beat(now, maxPatience*r.SuspectAfter)
	}
	if a := r.accusations[id]; a != nil {
		a.dismiss()
	}
}

// probed answers one who asks for a sign of life. Whoever had this address before
// gives none.
func (r *List) probed(from ids.Address, p Probe) {
	if p.ID == r.Self.ID {
		r.out.Send(from, ProbeReply{Self: r.Self})
	}
}

// Witness notes that any message came from an address: proof that whoever has it
// lives, better than what others say of it.
func (r *List) Witness(now ids.Time, from ids.Address) {
	if from != r.Self.Address {
		r.words[from] = now
	}
}

// silence is how long nothing at all came from a watched member.
func (r *List) silence(now ids.Time, m Member, a *arrivals) time.Duration {
	return now.Since(max(a.last, r.words[m.Address]))
}

// excuse takes a gap between clock events into account: what this daemon didn't
// hear while it stood still was its own silence.
func (r *List) excuse(now ids.Time) {
	gap := now.Since(r.ticked)
	late := gap - r.HeartbeatEvery
	first := r.ticked == 0
	if first {
		r.begun = now
	}
	r.ticked = now
	switch {
	case first || late <= 0:
	case gap > r.SuspectAfter/2:
		for _, a := range r.heard {
			a.last, a.probed = now, 0
		}
		clear(r.accusations)
	default:
		for _, a := range r.heard {
			a.last = min(a.last.Add(late), now)
		}
		for _, a := range r.accusations {
			if a.asked != 0 {
				a.asked = min(a.asked.Add(late), now)
			}
		}
	}
}

// watch accuses members that should be heard, and that neither were nor answer.
func (r *List) watch(now ids.Time) {
	list := r.ringOf().watched(r.Self.ID, r.Watchers)
	for _, m := range list {
		a := r.heard[m.ID]
		if a == nil || a.last == 0 {
			r.heard[m.ID] = r.newArrivals(now)
			continue
		}
		silence, patience := r.silence(now, m, a), r.patience(a)
		if a.accused != 0 && silence < patience {
			a.accused = 0
			r.withdraw(m)
		}
		if silence >= patience*2/3 && now.Since(a.probed) >= probeEvery {
			a.probed = now
			r.out.Send(m.Address, Probe{ID: m.ID})
		}
		if silence >= patience && now.Since(a.accused) >= r.HeartbeatEvery && r.hearsOthers(now, m, list) {
			a.accused = now
			r.accuse(now, m, patience)
		}
	}
	if len(r.heard) > len(list) {
		r.forgetUnwatched(list)
	}
}

// hearsOthers tells whether this daemon heard anybody but a member of late: one
// that hears nobody is itself cut off, and its word against others is worth
// nothing.
func (r *List) hearsOthers(now ids.Time, but Member, watched []Member) bool {
	if len(r.ringOf().members) <= 2 {
		return true
	}
	for _, m := range watched {
		if a := r.heard[m.ID]; a != nil && m.ID != but.ID && now.Since(a.last) < r.SuspectAfter/2 {
			return true
		}
	}
	for at, word := range r.words {
		if at != but.Address && now.Since(word) < r.SuspectAfter/2 {
			return true
		}
	}
	return false
}

func (r *List) forgetUnwatched(list []Member) {
	keep := make(map[ids.Daemon]*arrivals, len(list))
	for _, m := range list {
		keep[m.ID] = r.heard[m.ID]
	}
	r.heard = keep
}

// accuse tells every registry, this one too, that a member is silent.
func (r *List) accuse(now ids.Time, m Member, silence time.Duration) {
	s := Suspect{Watcher: r.Self.ID, ID: m.ID, Incarnation: m.Incarnation, Silence: uint32(silence / time.Millisecond)}
	r.suspect(now, s)
	for _, f := range r.Live(Registry) {
		if f.ID != r.Self.ID {
			r.out.Send(f.Address, s)
		}
	}
}

// withdraw tells every registry that an accused member has shown itself.
func (r *List) withdraw(m Member) {
	w := Withdraw{Watcher: r.Self.ID, ID: m.ID}
	r.withdrawn(w)
	for _, f := range r.Live(Registry) {
		if f.ID != r.Self.ID {
			r.out.Send(f.Address, w)
		}
	}
}

// forgetWords drops what is remembered of addresses that have long been silent.
func (r *List) forgetWords(now ids.Time) {
	for at, word := range r.words {
		if now.Since(word) > forgetWord {
			delete(r.words, at)
		}
	}
}
