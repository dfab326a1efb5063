package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// probeTimeout is how long a registry gives a member to answer its probes before it
	// may declare the member dead: three probes.
	probeTimeout = 600 * time.Millisecond
	// probeSequenceTimeout is how long ago the last probe may be for the next one to
	// continue the same sequence. After a longer gap the wait starts anew.
	probeSequenceTimeout = 2 * time.Second
)

// suspicion is what a registry holds against one member.
type suspicion struct {
	// reports are the latest reports by the daemons that sent them.
	reports map[ids.DaemonID]suspectReport
	// probingSince is when this registry began to probe the member without an answer
	// since; 0 if it doesn't.
	probingSince ids.Time
	// lastProbe is when this registry last probed the member; 0 if never.
	lastProbe ids.Time
	// falsePositives is how often this registry declared this run of the member dead
	// although it was alive. Each doubles the time that the member is given.
	falsePositives int
}

// suspectReport is one daemon's report that a member is silent.
type suspectReport struct {
	incarnation ids.Incarnation
	receivedAt  ids.Time
	// silence is after how long a silence the member was suspected.
	silence time.Duration
}

// suspicionOf returns what is held against a member, and makes an empty one if need be.
func (l *List) suspicionOf(id ids.DaemonID) *suspicion {
	s := l.suspicions[id]
	if s == nil {
		s = &suspicion{reports: map[ids.DaemonID]suspectReport{}}
		l.suspicions[id] = s
	}
	return s
}

// reset drops all reports against a member that has shown itself. The time of the last
// probe stays, so that the member isn't probed again at once.
func (s *suspicion) reset() {
	clear(s.reports)
	s.probingSince = 0
}

// responseTimeout is how long the member is given to answer this registry's probes:
// longer than probeTimeout in proportion to the silence that its watchers allowed it.
func (s *suspicion) responseTimeout(suspicionTimeout time.Duration) time.Duration {
	longest := suspicionTimeout
	for _, report := range s.reports {
		longest = max(longest, report.silence)
	}
	longest = min(longest, maxTimeoutFactor*suspicionTimeout)
	return probeTimeout * longest / suspicionTimeout << s.falsePositives
}

// handleSuspect takes in a report against the present incarnation of a live member.
// One against this daemon itself is ignored: it refutes its death if it comes to that.
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

// handleWithdraw drops all reports against a member that one of its watchers has heard
// again: the others' reports are older than that.
func (l *List) handleWithdraw(w Withdraw) {
	if s := l.suspicions[w.Member]; s != nil {
		s.reset()
	}
}

// isSuspectedBy reports whether a daemon has lately reported the present incarnation of
// a member. Watchers repeat their reports with each heartbeat interval, so that one as old
// as twice the suspicion time-out no longer holds.
func (l *List) isSuspectedBy(now ids.Time, m Member, reporter ids.DaemonID) bool {
	s := l.suspicions[m.ID]
	if s == nil {
		return false
	}
	report, ok := s.reports[reporter]
	return ok && report.incarnation == m.Incarnation && now.Sub(report.receivedAt) < 2*l.SuspicionTimeout
}

// isSuspected reports whether any daemon has lately reported the present incarnation of
// a member.
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

// probeSuspected probes a suspected member, and reports whether it has left this
// registry's probes unanswered for long enough.
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

// isUnresponsive reports whether a member has left this registry's probes unanswered
// for long enough, and sent it nothing else either.
func (l *List) isUnresponsive(now ids.Time, m Member) bool {
	s := l.suspicions[m.ID]
	if s == nil || s.probingSince == 0 || l.lastContact[m.Address] > s.probingSince {
		return false
	}
	return now.Sub(s.probingSince) >= s.responseTimeout(l.SuspicionTimeout)
}
