package membership

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

const (
	// maxFalsePositives bounds how often the time for a member's answer is doubled that
	// was declared dead by mistake.
	maxFalsePositives = 2
	// falsePositiveRetention is how long such a mistake is remembered.
	falsePositiveRetention = 30 * time.Second
)

// deathDeclaration is a declaration of death that this registry made.
type deathDeclaration struct {
	runID      ids.RunID
	declaredAt ids.Time
	// falsePositives is how often the same run was declared dead, this time included.
	falsePositives int
}

// voteTally is what counts for a member's death.
type voteTally struct {
	// votes is the number of votes.
	votes int
	// lostWatchers is the number of the member's watchers that are suspected and
	// unresponsive themselves, so that they may be unable to vote.
	lostWatchers int
}

// evaluateSuspicions declares dead the members that enough watchers suspect and
// that don't answer this registry either.
func (l *List) evaluateSuspicions(now ids.Time) {
	if len(l.suspicions) == 0 {
		return
	}
	for _, m := range l.liveMembers() {
		if m.ID != l.Self.ID {
			l.evaluateSuspicion(now, m)
		}
	}
}

// evaluateSuspicion decides about one member. A member is also considered if it isn't
// reported but most of its watchers may be dead. This registry reports it as well then,
// as a substitute for a watcher.
func (l *List) evaluateSuspicion(now ids.Time, m Member) {
	tally := l.countVotes(now, m)
	if !l.isSuspected(now, m) && tally.lostWatchers < l.requiredVotes() {
		delete(l.suspicions, m.ID)
		return
	}
	if !l.probeSuspected(now, m) {
		return
	}
	if tally.lostWatchers > 0 && !l.isSuspectedBy(now, m, l.Self.ID) {
		l.broadcastSuspect(now, m, l.SuspicionTimeout)
		tally = l.countVotes(now, m)
	}
	if tally.votes >= l.requiredVotes() {
		l.declareDead(now, m, tally)
	}
}

// requiredVotes is how many votes a declaration of death takes: half, rounded up, of the
// watchers that a member has by the size of the deployment. Of three watchers, as usual,
// that is a majority; of the two in a deployment of three daemons it is one. It doesn't
// shrink when watchers are suspected themselves.
func (l *List) requiredVotes() int {
	return (min(l.Watchers, len(l.currentRing().members)-1) + 1) / 2
}

// countVotes counts the votes for a member's death. A watcher votes by reporting the
// member. Each watcher that may be unable to vote can be replaced by a registry that
// has probed the member in vain itself.
func (l *List) countVotes(now ids.Time, m Member) voteTally {
	var tally voteTally
	isWatcher := map[ids.DaemonID]bool{}
	for _, watcher := range l.currentRing().watchers(m.ID, l.Watchers) {
		isWatcher[watcher.ID] = true
		switch {
		case l.isSuspectedBy(now, m, watcher.ID):
			tally.votes++
		case l.isSuspected(now, watcher) && l.isUnresponsive(now, watcher):
			tally.lostWatchers++
		}
	}
	substitutes := 0
	for _, registry := range l.Live(Registry) {
		if !isWatcher[registry.ID] && l.isSuspectedBy(now, m, registry.ID) {
			substitutes++
		}
	}
	tally.votes += min(tally.lostWatchers, substitutes)
	return tally
}

// declareDead declares a member dead and tells the others.
func (l *List) declareDead(now ids.Time, m Member, tally voteTally) {
	l.declarations[m.ID] = deathDeclaration{runID: m.RunID, declaredAt: now, falsePositives: l.falsePositivesOf(now, m) + 1}
	m.Dead = true
	l.put(m)
	delete(l.suspicions, m.ID)
	l.out.Log(event.LevelWarn, EventMemberDeclaredDead, "member", string(m.ID), "votes", strconv.Itoa(tally.votes),
		"quorum", strconv.Itoa(l.requiredVotes()), "lost_watchers", strconv.Itoa(tally.lostWatchers))
	l.broadcastList()
}

// falsePositivesOf is how often this registry has lately declared a run of a member dead
// that is alive.
func (l *List) falsePositivesOf(now ids.Time, m Member) int {
	declaration, ok := l.declarations[m.ID]
	if !ok || declaration.runID != m.RunID || now.Sub(declaration.declaredAt) > falsePositiveRetention {
		return 0
	}
	return min(declaration.falsePositives, maxFalsePositives)
}
