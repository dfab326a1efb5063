package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// averageWeight is the weight of the past in the moving averages of a heartbeat
	// history: a new gap counts for one eighth, so that one late heartbeat moves them
	// little and a change of the link shows within a few seconds.
	averageWeight = 8
	// meanFactor and deviationFactor make the suspicion time-out of a member from the
	// mean and the mean deviation of its gaps.
	meanFactor      = 2
	deviationFactor = 6
	// maxTimeoutFactor bounds the suspicion time-out of a member with irregular
	// heartbeats, in multiples of Options.SuspicionTimeout.
	maxTimeoutFactor = 3
	// startupPeriod is for how long after its own start a daemon expects irregular
	// heartbeats. The whole deployment may have started with it, and the links are
	// full of what the members tell one another.
	startupPeriod = 6 * time.Second
	// contactRetention is how long the last contact with an address is remembered,
	// which is far beyond all time-outs.
	contactRetention = time.Minute
)

// heartbeatHistory is what a watcher knows of one member's heartbeats.
type heartbeatHistory struct {
	// lastHeard is when the last heartbeat arrived, or when the watch began.
	lastHeard ids.Time
	// meanInterval and intervalDeviation are moving averages of the gaps between
	// heartbeats and of their deviations from the mean.
	meanInterval, intervalDeviation time.Duration
	// lastProbe is when the member was last probed; 0 if never.
	lastProbe ids.Time
	// suspectedAt is when the member was last reported as suspected; 0 if it isn't.
	suspectedAt ids.Time
}

// newHeartbeatHistory is the history of a member that is watched from now on.
func (l *List) newHeartbeatHistory(now ids.Time) *heartbeatHistory {
	history := &heartbeatHistory{lastHeard: now, meanInterval: l.HeartbeatInterval}
	if now.Sub(l.firstTick) < startupPeriod {
		// With deviationFactor this makes the time-out more than twice SuspicionTimeout, and
		// still less than the most that maxTimeoutFactor allows.
		history.intervalDeviation = l.SuspicionTimeout / 3
	}
	return history
}

// record notes a heartbeat. A gap above maxGap means that the member was away, and
// doesn't count in the averages.
func (h *heartbeatHistory) record(now ids.Time, maxGap time.Duration) {
	gap := now.Sub(h.lastHeard)
	h.lastHeard = now
	if gap > maxGap {
		return
	}
	deviation := gap - h.meanInterval
	h.meanInterval += deviation / averageWeight
	h.intervalDeviation += (deviation.Abs() - h.intervalDeviation) / averageWeight
}

// recordHeartbeat notes a heartbeat or probe reply of a member, which also ends all
// suspicion of it.
func (l *List) recordHeartbeat(now ids.Time, id ids.DaemonID) {
	if history := l.heartbeats[id]; history != nil {
		history.record(now, maxTimeoutFactor*l.SuspicionTimeout)
	}
	if s := l.suspicions[id]; s != nil {
		s.reset()
	}
}

// suspicionTimeout is how long a member may be silent before it is suspected: longer
// the more irregular its heartbeats are, and never less than Options.SuspicionTimeout.
func (l *List) suspicionTimeout(history *heartbeatHistory) time.Duration {
	expected := meanFactor*history.meanInterval + deviationFactor*history.intervalDeviation
	return min(max(expected, l.SuspicionTimeout), maxTimeoutFactor*l.SuspicionTimeout)
}

// RecordContact notes that a message of any kind came from an address. It proves that
// whoever has the address is alive, and outweighs what others report.
func (l *List) RecordContact(now ids.Time, from ids.Address) {
	if from != l.Self.Address {
		l.lastContact[from] = now
	}
}

// silenceOf is for how long no message of any kind has come from a watched member.
func (l *List) silenceOf(now ids.Time, m Member, history *heartbeatHistory) time.Duration {
	return now.Sub(max(history.lastHeard, l.lastContact[m.Address]))
}

// forgetOldContacts drops the contacts that are too old to matter.
func (l *List) forgetOldContacts(now ids.Time) {
	for address, lastContact := range l.lastContact {
		if now.Sub(lastContact) > contactRetention {
			delete(l.lastContact, address)
		}
	}
}

// compensatePause takes a gap between two ticks into account: what this daemon didn't
// hear while it was paused says nothing about the others. After a long pause all
// silence counts anew, after a short one it is counted without the pause.
func (l *List) compensatePause(now ids.Time) {
	isFirst := l.lastTick == 0
	if isFirst {
		l.firstTick = now
	}
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	pause := gap - l.HeartbeatInterval
	switch {
	case isFirst || pause <= 0:
	case gap > l.SuspicionTimeout/2:
		l.restartTimeouts(now)
	default:
		l.extendTimeouts(now, pause)
	}
}

// restartTimeouts counts all silence from now on and drops all suspicion.
func (l *List) restartTimeouts(now ids.Time) {
	for _, history := range l.heartbeats {
		history.lastHeard, history.lastProbe = now, 0
	}
	clear(l.suspicions)
}

// extendTimeouts leaves a pause out of all silence.
func (l *List) extendTimeouts(now ids.Time, pause time.Duration) {
	for _, history := range l.heartbeats {
		history.lastHeard = min(history.lastHeard.Add(pause), now)
	}
	for _, s := range l.suspicions {
		if s.probingSince != 0 {
			s.probingSince = min(s.probingSince.Add(pause), now)
		}
	}
}
