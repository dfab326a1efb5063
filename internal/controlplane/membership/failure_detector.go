package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// probeInterval is the time between two probes of a silent member. Several fit into
// each time-out, as a probe or its reply may be lost.
const probeInterval = 200 * time.Millisecond

// checkWatched probes and suspects the members that this daemon watches and doesn't
// hear.
func (l *List) checkWatched(now ids.Time) {
	watched := l.currentRing().watched(l.Self.ID, l.Watchers)
	for _, m := range watched {
		history := l.heartbeats[m.ID]
		if history == nil || history.lastHeard == 0 {
			l.heartbeats[m.ID] = l.newHeartbeatHistory(now)
			continue
		}
		l.checkSilence(now, m, history, watched)
	}
	if len(l.heartbeats) > len(watched) {
		l.forgetUnwatched(watched)
	}
}

// checkSilence probes a watched member when two thirds of its suspicion time-out are
// over, which leaves the last third for the answer, and reports it as suspected when
// all of it is, again with each heartbeat interval. A member that was suspected and is
// heard again is no longer suspected.
func (l *List) checkSilence(now ids.Time, m Member, history *heartbeatHistory, watched []Member) {
	silence, timeout := l.silenceOf(now, m, history), l.suspicionTimeout(history)
	if history.suspectedAt != 0 && silence < timeout {
		history.suspectedAt = 0
		l.broadcastWithdraw(m)
	}
	if silence >= timeout*2/3 && now.Sub(history.lastProbe) >= probeInterval {
		history.lastProbe = now
		l.out.Send(m.Address, Probe{ID: m.ID})
	}
	reportDue := now.Sub(history.suspectedAt) >= l.HeartbeatInterval
	if silence >= timeout && reportDue && l.hearsAnyoneElse(now, m, watched) {
		history.suspectedAt = now
		l.broadcastSuspect(now, m, timeout)
	}
}

// hearsAnyoneElse reports whether this daemon has lately heard from anyone but one
// member. If not, it is probably cut off itself, and its suspicions mean nothing. In a
// deployment of two there is nobody else to hear.
func (l *List) hearsAnyoneElse(now ids.Time, except Member, watched []Member) bool {
	if len(l.currentRing().members) <= 2 {
		return true
	}
	isRecent := func(t ids.Time) bool { return now.Sub(t) < l.SuspicionTimeout/2 }
	for _, m := range watched {
		if history := l.heartbeats[m.ID]; history != nil && m.ID != except.ID && isRecent(history.lastHeard) {
			return true
		}
	}
	for address, lastContact := range l.lastContact {
		if address != except.Address && isRecent(lastContact) {
			return true
		}
	}
	return false
}

// forgetUnwatched drops the histories of members that this daemon no longer watches.
func (l *List) forgetUnwatched(watched []Member) {
	kept := make(map[ids.DaemonID]*heartbeatHistory, len(watched))
	for _, m := range watched {
		kept[m.ID] = l.heartbeats[m.ID]
	}
	l.heartbeats = kept
}

// broadcastSuspect reports to every registry, this one included, that a member has been
// silent for a time.
func (l *List) broadcastSuspect(now ids.Time, m Member, silence time.Duration) {
	suspect := Suspect{Watcher: l.Self.ID, Member: m.ID, Incarnation: m.Incarnation, SilenceMillis: uint32(silence / time.Millisecond)}
	l.handleSuspect(now, suspect)
	l.sendToRegistries(suspect)
}

// broadcastWithdraw tells every registry that a suspected member was heard again.
func (l *List) broadcastWithdraw(m Member) {
	withdraw := Withdraw{Watcher: l.Self.ID, Member: m.ID}
	l.handleWithdraw(withdraw)
	l.sendToRegistries(withdraw)
}

// sendToRegistries sends a message to all other live registries.
func (l *List) sendToRegistries(msg any) {
	for _, registry := range l.Live(Registry) {
		if registry.ID != l.Self.ID {
			l.out.Send(registry.Address, msg)
		}
	}
}

// handleProbe answers a probe of this daemon. One for a daemon that had this address
// before isn't answered.
func (l *List) handleProbe(from ids.Address, p Probe) {
	if p.ID == l.Self.ID {
		l.out.Send(from, ProbeReply{Self: l.Self})
	}
}
