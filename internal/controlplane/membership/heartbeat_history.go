package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// averageWeight is the divisor of the moving averages of a heartbeat history: a new interval
	// counts for one eighth.
	averageWeight = 8
	// meanFactor and deviationFactor are the weights of the mean and the mean deviation of a
	// member's heartbeat intervals in its suspicion timeout.
	meanFactor      = 2
	deviationFactor = 6
	// maxTimeoutFactor bounds the suspicion timeout of a member with irregular heartbeats, as a
	// multiple of Options.SuspicionTimeout.
	maxTimeoutFactor = 3
	// startupPeriod is how long after its own start a daemon expects irregular heartbeats of
	// proxies. The whole cluster may have started at the same time, and membership traffic then
	// congests their links. Stores and registries are few, have wide links, and must be replaced
	// in time, also if their watchers are new.
	startupPeriod = 6 * time.Second
	// contactRetention is how long the last contact with an address is remembered. It is much
	// longer than all timeouts.
	contactRetention = time.Minute
)

// heartbeatHistory is a watcher's record of one member's heartbeats.
type heartbeatHistory struct {
	// lastHeard is when the last heartbeat arrived, or when the daemon began to watch the member.
	lastHeard ids.Time
	// meanInterval and intervalDeviation are moving averages of the intervals between heartbeats
	// and of their absolute deviation from the mean.
	meanInterval, intervalDeviation time.Duration
	// lastProbe is when the member was last probed; 0 if never.
	lastProbe ids.Time
	// suspectedAt is when the member was last reported as suspected; 0 if it isn't suspected.
	suspectedAt ids.Time
}

// newHeartbeatHistory returns the history of a member of a role that is watched from now on.
func (l *List) newHeartbeatHistory(now ids.Time, role Role) *heartbeatHistory {
	history := &heartbeatHistory{lastHeard: now, meanInterval: l.HeartbeatInterval}
	if role == Proxy && now.Sub(l.firstTick) < startupPeriod {
		// Makes the timeout more than twice SuspicionTimeout, which is still below the bound set
		// by maxTimeoutFactor.
		history.intervalDeviation = l.SuspicionTimeout / 3
	}
	return history
}

// record records a heartbeat. An interval longer than maxGap means that the member was
// unavailable, and is left out of the averages.
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

// recordHeartbeat records a heartbeat or probe reply of a member and clears all suspicion of it.
func (l *List) recordHeartbeat(now ids.Time, id ids.DaemonID) {
	if history := l.heartbeats[id]; history != nil {
		history.record(now, maxTimeoutFactor*l.SuspicionTimeout)
	}
	if s := l.suspicions[id]; s != nil {
		s.reset()
	}
}

// suspicionTimeout returns how long a member may be silent before it is suspected. The timeout
// grows with the irregularity of its heartbeats and is at least Options.SuspicionTimeout.
func (l *List) suspicionTimeout(history *heartbeatHistory) time.Duration {
	expected := meanFactor*history.meanInterval + deviationFactor*history.intervalDeviation
	return min(max(expected, l.SuspicionTimeout), maxTimeoutFactor*l.SuspicionTimeout)
}

// RecordContact records that a message of any kind arrived from an address. It proves that the
// daemon at the address is alive, and takes precedence over reports by others.
func (l *List) RecordContact(now ids.Time, from ids.Address) {
	if from != l.Self.Address {
		l.lastContact[from] = now
	}
}

// silenceOf returns the time since a message of any kind last arrived from a watched member.
func (l *List) silenceOf(now ids.Time, m Member, history *heartbeatHistory) time.Duration {
	return now.Sub(max(history.lastHeard, l.lastContact[m.Address]))
}

// pruneContacts drops the contacts that are older than contactRetention.
func (l *List) pruneContacts(now ids.Time) {
	for address, lastContact := range l.lastContact {
		if now.Sub(lastContact) > contactRetention {
			delete(l.lastContact, address)
		}
	}
}

// compensatePause corrects for a gap between two ticks, in which this process was paused and
// couldn't receive messages. After a long pause all timeouts are restarted; after a short one they
// are extended by the pause.
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

// restartTimeouts restarts all suspicion timeouts and drops all suspicions.
func (l *List) restartTimeouts(now ids.Time) {
	for _, history := range l.heartbeats {
		history.lastHeard, history.lastProbe = now, 0
	}
	clear(l.suspicions)
}

// extendTimeouts extends all suspicion and probe timeouts by a pause.
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
