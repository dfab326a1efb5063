package membership

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

const (
	// maxFalsePositives bounds how often the probe response timeout is doubled for a member
	// that was declared dead by mistake.
	maxFalsePositives = 2
	// falsePositiveRetention is how long a mistaken declaration of death is remembered.
	falsePositiveRetention = 30 * time.Second
)

// deathDeclaration records that this registry declared a member dead.
type deathDeclaration struct {
	runID      ids.RunID
	declaredAt ids.Time
	// falsePositives is the number of times this run was declared dead, including this one.
	falsePositives int
}

// voteTally is the result of counting the votes to declare a member dead.
type voteTally struct {
	votes int
	// lostWatchers is the number of the member's watchers that are themselves suspected and
	// unresponsive, and may therefore be unable to vote.
	lostWatchers int
}

// evaluateSuspicions declares dead the members that enough watchers suspect and that don't
// answer this registry's probes.
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

// evaluateSuspicion decides whether to declare one member dead. A member without reports is also
// evaluated if most of its watchers may be dead. If any watcher is lost, this registry reports the
// member itself, as a substitute for the watcher.
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

// requiredVotes returns the number of votes needed to declare a member dead: half, rounded up,
// of the watchers that each member has in a cluster of this size. With the default of three
// watchers that is a majority; with two, in a cluster of three daemons, it is one. It doesn't
// shrink when watchers are themselves suspected.
func (l *List) requiredVotes() int {
	return (min(l.Watchers, len(l.currentRing().members)-1) + 1) / 2
}

// countVotes counts the votes to declare a member dead. A watcher votes by reporting the member.
// Each watcher that may be unable to vote can be replaced by a registry whose own probes the
// member didn't answer.
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

// declareDead marks a member as dead and broadcasts the change.
func (l *List) declareDead(now ids.Time, m Member, tally voteTally) {
	l.declarations[m.ID] = deathDeclaration{runID: m.RunID, declaredAt: now, falsePositives: l.falsePositivesOf(now, m) + 1}
	m.Dead = true
	l.put(m)
	delete(l.suspicions, m.ID)
	l.out.Log(event.LevelWarn, EventMemberDeclaredDead, "member", string(m.ID), "votes", strconv.Itoa(tally.votes),
		"quorum", strconv.Itoa(l.requiredVotes()), "lost_watchers", strconv.Itoa(tally.lostWatchers))
	l.broadcastList()
}

// falsePositivesOf returns the number of recent declarations by which this registry declared the
// member's current run dead although it was alive.
func (l *List) falsePositivesOf(now ids.Time, m Member) int {
	declaration, ok := l.declarations[m.ID]
	if !ok || declaration.runID != m.RunID || now.Sub(declaration.declaredAt) > falsePositiveRetention {
		return 0
	}
	return min(declaration.falsePositives, maxFalsePositives)
}
