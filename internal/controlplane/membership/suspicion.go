package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// probeTimeout is the minimum time that a member has to answer a registry's probes before the
	// registry may declare it dead. It allows for three probes.
	probeTimeout = 600 * time.Millisecond
	// probeSequenceTimeout is the maximum time between two probes of the same sequence. After a
	// longer gap the member's time to answer starts again.
	probeSequenceTimeout = 2 * time.Second
)

// suspicion is a registry's state about one suspected member.
type suspicion struct {
	// reports holds the latest report of each reporting daemon.
	reports map[ids.DaemonID]suspectReport
	// probingSince is when this registry sent the first probe of the current unanswered sequence;
	// 0 if there is none.
	probingSince ids.Time
	// lastProbe is when this registry last probed the member; 0 if never.
	lastProbe ids.Time
	// falsePositives is the number of times this registry declared the member's current run dead
	// although it was alive. Each doubles the time that the member has to answer probes.
	falsePositives int
}

// suspectReport is one daemon's report that a member is silent.
type suspectReport struct {
	incarnation ids.Incarnation
	receivedAt  ids.Time
	// silence is the silence after which the watcher suspected the member.
	silence time.Duration
}

// suspicionOf returns the suspicion of a member, and creates an empty one if there is none.
func (l *List) suspicionOf(id ids.DaemonID) *suspicion {
	s := l.suspicions[id]
	if s == nil {
		s = &suspicion{reports: map[ids.DaemonID]suspectReport{}}
		l.suspicions[id] = s
	}
	return s
}

// reset drops all reports of a member that was heard from. It keeps the time of the last probe, so
// that the member isn't probed again immediately.
func (s *suspicion) reset() {
	clear(s.reports)
	s.probingSince = 0
}

// responseTimeout returns how long the member has to answer this registry's probes: probeTimeout,
// scaled up in proportion to its watchers' suspicion timeout and doubled for each false positive.
func (s *suspicion) responseTimeout(suspicionTimeout time.Duration) time.Duration {
	longest := suspicionTimeout
	for _, report := range s.reports {
		longest = max(longest, report.silence)
	}
	longest = min(longest, maxTimeoutFactor*suspicionTimeout)
	return probeTimeout * longest / suspicionTimeout << s.falsePositives
}

// handleSuspect records a report of the current incarnation of a live member. A report of this
// daemon itself is ignored: if it is declared dead, it refutes that.
func (l *List) handleSuspect(now ids.Time, report Suspect) {
	m, ok := l.members[report.Member]
	if !ok || m.Dead || m.Incarnation != report.Incarnation || report.Member == l.Self.ID {
		return
	}
	l.suspicionOf(report.Member).reports[report.Watcher] = suspectReport{
		incarnation: report.Incarnation,
		receivedAt:  now,
		silence:     time.Duration(report.SilenceMillis) * time.Millisecond,
	}
}

// handleWithdraw drops all reports of a member that one of its watchers has heard from again. The
// reports of the other watchers are older than that.
func (l *List) handleWithdraw(w Withdraw) {
	if s := l.suspicions[w.Member]; s != nil {
		s.reset()
	}
}

// isSuspectedBy reports whether a daemon has recently reported the current incarnation of a
// member. Watchers repeat their reports every heartbeat interval, so a report expires after twice
// the suspicion timeout.
func (l *List) isSuspectedBy(now ids.Time, m Member, reporter ids.DaemonID) bool {
	s := l.suspicions[m.ID]
	if s == nil {
		return false
	}
	report, ok := s.reports[reporter]
	return ok && report.incarnation == m.Incarnation && now.Sub(report.receivedAt) < 2*l.SuspicionTimeout
}

// isSuspected reports whether any daemon has recently reported the current incarnation of a
// member.
func (l *List) isSuspected(now ids.Time, m Member) bool {
	s := l.suspicions[m.ID]
	if s == nil {
		return false
	}
	for reporter := range s.reports {
		if l.isSuspectedBy(now, m, reporter) {
			return true
		}
	}
	return false
}

// probeSuspected probes a suspected member, and reports whether it is unresponsive (see
// isUnresponsive).
func (l *List) probeSuspected(now ids.Time, m Member) bool {
	s := l.suspicionOf(m.ID)
	s.falsePositives = l.falsePositivesOf(now, m)
	if s.probingSince != 0 && l.lastContact[m.Address] > s.probingSince {
		s.reset()
		return false
	}
	if s.lastProbe == 0 || now.Sub(s.lastProbe) >= probeInterval {
		if s.probingSince == 0 || now.Sub(s.lastProbe) > probeSequenceTimeout {
			s.probingSince = now
		}
		s.lastProbe = now
		l.out.Send(m.Address, Probe{ID: m.ID})
	}
	return l.isUnresponsive(now, m)
}

// isUnresponsive reports whether a member hasn't answered this registry's probes within the
// response timeout, nor sent it any other message.
func (l *List) isUnresponsive(now ids.Time, m Member) bool {
	s := l.suspicions[m.ID]
	if s == nil || s.probingSince == 0 || l.lastContact[m.Address] > s.probingSince {
		return false
	}
	return now.Sub(s.probingSince) >= s.responseTimeout(l.SuspicionTimeout)
}
