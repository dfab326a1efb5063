package membership

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// suspectReport is one daemon's word that another is silent.
type suspectReport struct {
	incarnation ids.Incarnation
	receivedAt  ids.Time
	silence     time.Duration
}

// suspicion is all that a registry knows against one member.
type suspicion struct {
	reports map[ids.DaemonID]suspectReport
	// probingSince is when this registry first asked the member itself, and probed when
	// it did so last.
	probingSince, lastProbe ids.Time
	// falsePositives is how often this registry was wrong about this run of the member.
	falsePositives int
}

const (
	// maxFalsePositives bounds how much longer a member is given that was declared dead
	// and wasn't.
	maxFalsePositives = 2
	// falsePositiveRetention is how long such a verdict is remembered.
	falsePositiveRetention = 30 * time.Second
)

// deathDeclaration is a verdict that this registry passed.
type deathDeclaration struct {
	runID          ids.RunID
	declaredAt     ids.Time
	falsePositives int
}

// falsePositivesOf tells how often this registry declared a run dead that is here.
func (l *List) falsePositivesOf(now ids.Time, m Member) int {
	declaration, ok := l.declarations[m.ID]
	if !ok || declaration.runID != m.RunID || now.Sub(declaration.declaredAt) > falsePositiveRetention {
		return 0
	}
	return min(declaration.falsePositives, maxFalsePositives)
}

// clear drops what was said against a member that showed itself. When it was
// probed last stays, so that it isn't probed without a pause.
func (s *suspicion) clear() {
	clear(s.reports)
	s.probingSince = 0
}

// responseTimeout is how long the member is given to answer: as much longer than probeWait
// as it was given by those who accuse it.
func (s *suspicion) responseTimeout(suspectAfter time.Duration) time.Duration {
	longest := suspectAfter
	for _, report := range s.reports {
		longest = max(longest, report.silence)
	}
	return probeTimeout * min(longest, maxTimeoutFactor*suspectAfter) / suspectAfter << s.falsePositives
}

func (l *List) suspicionOf(id ids.DaemonID) *suspicion {
	s := l.suspicions[id]
	if s == nil {
		s = &suspicion{reports: map[ids.DaemonID]suspectReport{}}
		l.suspicions[id] = s
	}
	return s
}

func (l *List) handleSuspect(now ids.Time, s Suspect) {
	m, ok := l.members[s.ID]
	if !ok || m.Gone || m.Incarnation != s.Incarnation || s.ID == l.Self.ID {
		return
	}
	l.suspicionOf(s.ID).reports[s.Watcher] = suspectReport{s.Incarnation, now, time.Duration(s.SilenceMillis) * time.Millisecond}
}

// handleWithdraw takes a watcher's word that it heard from a member that it accused:
// whatever others say of that member is older.
func (l *List) handleWithdraw(w Withdraw) {
	if s := l.suspicions[w.ID]; s != nil {
		s.clear()
	}
}

// isSuspectedBy tells whether a daemon accuses a member's present incarnation of late.
func (l *List) isSuspectedBy(now ids.Time, m Member, reporter ids.DaemonID) bool {
	s := l.suspicions[m.ID]
	if s == nil {
		return false
	}
	report, reported := s.reports[reporter]
	return reported && report.incarnation == m.Incarnation && now.Sub(report.receivedAt) < 2*l.SuspicionTimeout
}

// isSuspected tells whether anybody accuses a member of late.
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

// quorum is how many witnesses a verdict takes: a majority of the watchers that
// a member has by the size of the fleet. No doubt about a watcher makes it less.
func (l *List) quorum() int {
	return (min(l.Watchers, len(l.currentRing().members)-1) + 1) / 2
}

// countVotes counts the witnesses against a member: its watchers, and, for each
// watcher that is accused itself and gave this registry no answer, so that it may
// be unable to speak, one of the registries whose own probe of the member was
// left unanswered.
func (l *List) countVotes(now ids.Time, m Member) (votes, doubted int) {
	substitutes := 0
	watchers := l.currentRing().watchers(m.ID, l.Watchers)
	isWatcher := make(map[ids.DaemonID]bool, len(watchers))
	for _, watcher := range watchers {
		isWatcher[watcher.ID] = true
		switch {
		case l.isSuspectedBy(now, m, watcher.ID):
			votes++
		case l.isSuspected(now, watcher) && l.isUnresponsive(now, watcher):
			doubted++
		}
	}
	for _, registry := range l.Live(Registry) {
		if !isWatcher[registry.ID] && l.isSuspectedBy(now, m, registry.ID) {
			substitutes++
		}
	}
	return votes + min(doubted, substitutes), doubted
}

// evaluateSuspicions is the verdict of a registry over those accused. It asks each of
// them itself first: an answer outweighs every accusation.
func (l *List) evaluateSuspicions(now ids.Time) {
	if len(l.suspicions) == 0 {
		return
	}
	for _, m := range l.liveMembers() {
		if m.ID == l.Self.ID {
			continue
		}
		votes, doubted := l.countVotes(now, m)
		if !l.isSuspected(now, m) && doubted < l.quorum() {
			delete(l.suspicions, m.ID)
			continue
		}
		if !l.probeSuspected(now, m) {
			continue
		}
		if doubted > 0 && !l.isSuspectedBy(now, m, l.Self.ID) {
			l.broadcastSuspect(now, m, l.SuspicionTimeout)
			votes, doubted = l.countVotes(now, m)
		}
		if votes >= l.quorum() {
			l.markDead(now, m, votes, doubted)
		}
	}
}

// probeSuspected asks a member for a sign of life, and tells whether it has been
// asked for long enough without giving one.
func (l *List) probeSuspected(now ids.Time, m Member) bool {
	s := l.suspicionOf(m.ID)
	s.falsePositives = l.falsePositivesOf(now, m)
	if s.probingSince != 0 && l.lastContact[m.Address] > s.probingSince {
		s.clear()
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

// isUnresponsive tells whether a member has been asked by this registry for long
// enough without giving a sign of life.
func (l *List) isUnresponsive(now ids.Time, m Member) bool {
	s := l.suspicions[m.ID]
	return s != nil && s.probingSince != 0 && l.lastContact[m.Address] <= s.probingSince && now.Sub(s.probingSince) >= s.responseTimeout(l.SuspicionTimeout)
}

func (l *List) markDead(now ids.Time, m Member, votes, doubted int) {
	l.declarations[m.ID] = deathDeclaration{runID: m.RunID, declaredAt: now, falsePositives: l.falsePositivesOf(now, m) + 1}
	m.Gone = true
	l.put(m)
	delete(l.suspicions, m.ID)
	l.out.Log(event.LevelWarn, "member gone", "member", string(m.ID), "votes", itoa(uint64(votes)), "quorum", itoa(uint64(l.quorum())), "doubted", itoa(uint64(doubted)))
	l.broadcastList()
}

func (l *List) broadcastList() {
	if l.Incremental {
		// What changed is relayed with the next clock event.
		return
	}
	all := l.All()
	for _, m := range all {
		if m.ID != l.Self.ID && !m.Gone {
			l.out.Send(m.Address, Snapshot{Members: all, Final: true})
		}
	}
}
