package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// probeInterval is the time between two probes of a silent member. Several probes fit into each
// timeout, because a probe or its reply may be lost.
const probeInterval = 200 * time.Millisecond

// checkWatched probes and reports the members that this daemon watches and that have been silent
// for too long.
func (l *List) checkWatched(now ids.Time) {
	watched := l.currentRing().watched(l.Self.ID, l.Watchers)
	for _, m := range watched {
		history := l.heartbeats[m.ID]
		if history == nil || history.lastHeard == 0 {
			l.heartbeats[m.ID] = l.newHeartbeatHistory(now, m.Role)
			continue
		}
		l.checkSilence(now, m, history, watched)
	}
	if len(l.heartbeats) > len(watched) {
		l.pruneUnwatched(watched)
	}
}

// checkSilence probes a watched member once two thirds of its suspicion timeout have passed,
// which leaves the last third for the reply. Once the whole timeout has passed it reports the
// member as suspected, and repeats the report every heartbeat interval. If a suspected member is
// heard from again, it withdraws the report.
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
	if silence >= timeout && reportDue && l.heardFromOthers(now, m, watched) {
		history.suspectedAt = now
		l.broadcastSuspect(now, m, timeout)
	}
}

// heardFromOthers reports whether this daemon has recently heard from any member other than
// except. If not, this daemon is probably isolated, and its suspicions are unreliable. In a
// cluster of two daemons it returns true, because there is no other member.
func (l *List) heardFromOthers(now ids.Time, except Member, watched []Member) bool {
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

// pruneUnwatched drops the histories of members that this daemon no longer watches.
func (l *List) pruneUnwatched(watched []Member) {
	kept := make(map[ids.DaemonID]*heartbeatHistory, len(watched))
	for _, m := range watched {
		kept[m.ID] = l.heartbeats[m.ID]
	}
	l.heartbeats = kept
}

// broadcastSuspect reports to every registry, and to this list, that a member has been silent for
// the given time.
func (l *List) broadcastSuspect(now ids.Time, m Member, silence time.Duration) {
	suspect := Suspect{Watcher: l.Self.ID, Member: m.ID, Incarnation: m.Incarnation, SilenceMillis: uint32(silence / time.Millisecond)}
	l.handleSuspect(now, suspect)
	l.sendToRegistries(suspect)
}

// broadcastWithdraw tells every registry that a suspected member was heard from again.
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

// handleProbe answers a probe of this daemon. Probes of a previous daemon at this address are
// ignored.
func (l *List) handleProbe(from ids.Address, p Probe) {
	if p.ID == l.Self.ID {
		l.out.Send(from, ProbeReply{Self: l.Self})
	}
}
