package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// rejoinInterval is the number of heartbeat intervals between two attempts to reach unknown seeds
// and dead members.
const rejoinInterval = 4

// Tick runs the periodic work that is due: it checks watched members, declares members dead and
// sends heartbeats. The owner calls it several times per heartbeat interval.
func (l *List) Tick(now ids.Time) {
	defer l.publish()
	if l.Self.Role != Registry {
		// Only registries relay changes.
		l.pendingRelay = nil
	}
	l.compensatePause(now)
	l.checkWatched(now)
	if l.Self.Role == Registry && (l.MayDeclareDead == nil || l.MayDeclareDead(now)) {
		l.evaluateSuspicions(now)
	}
	if now < l.nextHeartbeat {
		return
	}
	l.nextHeartbeat = now.Add(l.HeartbeatInterval)
	for _, watcher := range l.currentRing().watchers(l.Self.ID, l.Watchers) {
		l.sendHeartbeat(watcher.Address)
	}
	if now >= l.nextRejoin {
		l.nextRejoin = now.Add(rejoinInterval * l.HeartbeatInterval)
		l.pruneContacts(now)
		l.attemptRejoin()
	}
}

func (l *List) sendHeartbeat(to ids.Address) {
	l.out.Send(to, Heartbeat{Self: l.Self, Digest: l.currentDigest()})
}

// attemptRejoin sends a heartbeat to seeds that aren't live members and to one of the dead members,
// so that new daemons join and the sides of a healed partition find each other.
func (l *List) attemptRejoin() {
	live := map[ids.Address]bool{l.Self.Address: true}
	for _, m := range l.liveMembers() {
		live[m.Address] = true
	}
	for _, seed := range l.unknownSeeds(live) {
		l.sendHeartbeat(seed)
	}
	var dead []Member
	for _, m := range l.All() {
		if m.Dead && !live[m.Address] {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		l.sendHeartbeat(dead[l.pickDeadMember(len(dead))].Address)
	}
}

// pickDeadMember returns the index of one of n dead members. The choice varies over time and
// between daemons, so that together they try all dead members.
func (l *List) pickDeadMember(n int) int {
	seconds := ids.Sequence(l.nextRejoin / ids.Time(time.Second))
	return int(l.Self.Sequence+ids.Sequence(l.version)+seconds) % n
}

// unknownSeeds returns the seeds that aren't addresses of live members. An incremental list that
// knows other members returns one seed per call, round-robin, so that a cluster that starts all at
// once doesn't overload its seeds.
func (l *List) unknownSeeds(live map[ids.Address]bool) []ids.Address {
	var unknown []ids.Address
	for _, seed := range l.Seeds {
		if !live[seed] {
			unknown = append(unknown, seed)
		}
	}
	if l.Incremental && len(unknown) > 1 && len(l.members) > 1 {
		l.seedRotation++
		return unknown[l.seedRotation%len(unknown):][:1]
	}
	return unknown
}
