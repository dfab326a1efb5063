package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Probe asks a member for a sign of life. It goes out before a member is accused
// and again before it is declared dead, so that a heartbeat that is late, or that
// goes to another watcher as two lists differ, isn't taken for a death.
type Probe struct{ ID ids.DaemonID }

// ProbeReply is that sign of life.
type ProbeReply struct{ Self Member }

// Withdraw takes an accusation back: the watcher has heard from the member since.
type Withdraw struct {
	Watcher ids.DaemonID
	ID      ids.DaemonID
}

var _ = wire.Register(15, Probe{}) && wire.Register(16, ProbeReply{}) && wire.Register(17, Withdraw{})

const (
	// probeTimeout is how long a registry gives a member to answer a probe before it
	// may declare it dead.
	probeTimeout = 600 * time.Millisecond
	// probeInterval is how soon a probe is sent again: one message may be lost.
	probeInterval = 200 * time.Millisecond
	// probeSequenceTimeout is how long ago the last probe may be for the silence since the
	// first one to count as one.
	probeSequenceTimeout = 2 * time.Second
	// maxTimeoutFactor is how many times SuspectAfter a member may be silent whose
	// heartbeats were irregular before.
	maxTimeoutFactor = 3
	// startupPeriod is how long a daemon counts as just started.
	startupPeriod = 6 * time.Second
	// contactRetention is how long the last word from an address is remembered.
	contactRetention = time.Minute
)

// heartbeatHistory is the history of one watched member's heartbeats.
type heartbeatHistory struct {
	// lastHeard is when it was heard last, or since when it is watched.
	lastHeard ids.Time
	// meanInterval and deviation are moving averages of the gaps between heartbeats.
	meanInterval, intervalDeviation time.Duration
	lastProbe, suspectedAt          ids.Time
}

// newHeartbeatHistory is the history of a member that is watched from now on. A daemon
// that has just started may have started with the whole fleet, whose links are full
// of what all tell one another: it takes heartbeats for irregular until it has seen
// some.
func (l *List) newHeartbeatHistory(now ids.Time) *heartbeatHistory {
	history := &heartbeatHistory{lastHeard: now, meanInterval: l.HeartbeatInterval}
	if now.Sub(l.firstTick) < startupPeriod {
		history.intervalDeviation = l.SuspicionTimeout / 3
	}
	return history
}

// record notes a heartbeat. A gap past what is ever waited for says that the member
// was away, and nothing about how regular its heartbeats are.
func (h *heartbeatHistory) record(now ids.Time, longest time.Duration) {
	gap := now.Sub(h.lastHeard)
	h.lastHeard = now
	if gap > longest {
		return
	}
	const weight = 8
	deviation := gap - h.meanInterval
	h.meanInterval += deviation / weight
	h.intervalDeviation += (max(deviation, -deviation) - h.intervalDeviation) / weight
}

// suspicionTimeout is how long a member may be silent before it is accused: by its own
// history, and never less than SuspectAfter.
func (l *List) suspicionTimeout(history *heartbeatHistory) time.Duration {
	return min(max(2*history.meanInterval+6*history.intervalDeviation, l.SuspicionTimeout), maxTimeoutFactor*l.SuspicionTimeout)
}

// recordHeartbeat notes a sign of life that a member sent as such.
func (l *List) recordHeartbeat(now ids.Time, id ids.DaemonID) {
	if history := l.heartbeats[id]; history != nil {
		history.record(now, maxTimeoutFactor*l.SuspicionTimeout)
	}
	if history := l.suspicions[id]; history != nil {
		history.clear()
	}
}

// handleProbe answers one who asks for a sign of life. Whoever had this address before
// gives none.
func (l *List) handleProbe(from ids.Address, p Probe) {
	if p.ID == l.Self.ID {
		l.out.Send(from, ProbeReply{Self: l.Self})
	}
}

// RecordContact notes that any message came from an address: proof that whoever has it
// lives, better than what others say of it.
func (l *List) RecordContact(now ids.Time, from ids.Address) {
	if from != l.Self.Address {
		l.lastContact[from] = now
	}
}

// silenceOf is how long nothing at all came from a watched member.
func (l *List) silenceOf(now ids.Time, m Member, history *heartbeatHistory) time.Duration {
	return now.Sub(max(history.lastHeard, l.lastContact[m.Address]))
}

// compensatePause takes a gap between clock events into account: what this daemon didn't
// hear while it stood still was its own silence.
func (l *List) compensatePause(now ids.Time) {
	gap := now.Sub(l.lastTick)
	delay := gap - l.HeartbeatInterval
	isFirst := l.lastTick == 0
	if isFirst {
		l.firstTick = now
	}
	l.lastTick = now
	switch {
	case isFirst || delay <= 0:
	case gap > l.SuspicionTimeout/2:
		for _, a := range l.heartbeats {
			a.lastHeard, a.lastProbe = now, 0
		}
		clear(l.suspicions)
	default:
		for _, a := range l.heartbeats {
			a.lastHeard = min(a.lastHeard.Add(delay), now)
		}
		for _, a := range l.suspicions {
			if a.probingSince != 0 {
				a.probingSince = min(a.probingSince.Add(delay), now)
			}
		}
	}
}

// checkWatched accuses members that should be heard, and that neither were nor answer.
func (l *List) checkWatched(now ids.Time) {
	watched := l.currentRing().watched(l.Self.ID, l.Watchers)
	for _, m := range watched {
		history := l.heartbeats[m.ID]
		if history == nil || history.lastHeard == 0 {
			l.heartbeats[m.ID] = l.newHeartbeatHistory(now)
			continue
		}
		silence, timeout := l.silenceOf(now, m, history), l.suspicionTimeout(history)
		if history.suspectedAt != 0 && silence < timeout {
			history.suspectedAt = 0
			l.broadcastWithdraw(m)
		}
		if silence >= timeout*2/3 && now.Sub(history.lastProbe) >= probeInterval {
			history.lastProbe = now
			l.out.Send(m.Address, Probe{ID: m.ID})
		}
		if silence >= timeout && now.Sub(history.suspectedAt) >= l.HeartbeatInterval && l.hearsAnyoneElse(now, m, watched) {
			history.suspectedAt = now
			l.broadcastSuspect(now, m, timeout)
		}
	}
	if len(l.heartbeats) > len(watched) {
		l.forgetUnwatched(watched)
	}
}

// hearsAnyoneElse tells whether this daemon heard anybody but a member of late: one
// that hears nobody is itself cut off, and its word against others is worth
// nothing.
func (l *List) hearsAnyoneElse(now ids.Time, except Member, watched []Member) bool {
	if len(l.currentRing().members) <= 2 {
		return true
	}
	for _, m := range watched {
		if history := l.heartbeats[m.ID]; history != nil && m.ID != except.ID && now.Sub(history.lastHeard) < l.SuspicionTimeout/2 {
			return true
		}
	}
	for address, lastContact := range l.lastContact {
		if address != except.Address && now.Sub(lastContact) < l.SuspicionTimeout/2 {
			return true
		}
	}
	return false
}

func (l *List) forgetUnwatched(watched []Member) {
	kept := make(map[ids.DaemonID]*heartbeatHistory, len(watched))
	for _, m := range watched {
		kept[m.ID] = l.heartbeats[m.ID]
	}
	l.heartbeats = kept
}

// broadcastSuspect tells every registry, this one too, that a member is silent.
func (l *List) broadcastSuspect(now ids.Time, m Member, silence time.Duration) {
	suspect := Suspect{Watcher: l.Self.ID, ID: m.ID, Incarnation: m.Incarnation, SilenceMillis: uint32(silence / time.Millisecond)}
	l.handleSuspect(now, suspect)
	for _, registry := range l.Live(Registry) {
		if registry.ID != l.Self.ID {
			l.out.Send(registry.Address, suspect)
		}
	}
}

// broadcastWithdraw tells every registry that an accused member has shown itself.
func (l *List) broadcastWithdraw(m Member) {
	withdraw := Withdraw{Watcher: l.Self.ID, ID: m.ID}
	l.handleWithdraw(withdraw)
	for _, registry := range l.Live(Registry) {
		if registry.ID != l.Self.ID {
			l.out.Send(registry.Address, withdraw)
		}
	}
}

// forgetOldContacts drops what is remembered of addresses that have long been silent.
func (l *List) forgetOldContacts(now ids.Time) {
	for address, lastContact := range l.lastContact {
		if now.Sub(lastContact) > contactRetention {
			delete(l.lastContact, address)
		}
	}
}
