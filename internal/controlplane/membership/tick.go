package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Tick does what time asks for.
func (l *List) Tick(now ids.Time) {
	defer l.publish()
	if l.Self.Role != Registry {
		l.pendingRelay = nil
	}
	l.compensatePause(now)
	l.checkWatched(now)
	// A registry that no majority speaks to may itself be the one cut off.
	if l.Self.Role == Registry && (l.MayDeclareDead == nil || l.MayDeclareDead(now)) {
		l.evaluateSuspicions(now)
	}
	if now < l.nextHeartbeat {
		return
	}
	l.nextHeartbeat = now.Add(l.HeartbeatInterval)
	live := l.liveMembers()
	for _, watcher := range l.currentRing().watchers(l.Self.ID, l.Watchers) {
		l.out.Send(watcher.Address, Heartbeat{Self: l.Self, Digest: l.currentDigest()})
	}
	if now >= l.nextRejoin {
		l.nextRejoin = now.Add(4 * l.HeartbeatInterval)
		l.forgetOldContacts(now)
		l.contactUnreachable(live)
	}
}

// unknownSeeds gives the seeds that aren't known: all, or one in turn once others
// are, so that a fleet that starts as one doesn't drown its seeds.
func (l *List) unknownSeeds(known map[ids.Address]bool) []ids.Address {
	var unknown []ids.Address
	for _, seed := range l.Seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	if l.Incremental && len(unknown) > 1 && len(l.members) > 1 {
		l.seedRotation++
		return unknown[l.seedRotation%len(unknown):][:1]
	}
	return unknown
}

// contactUnreachable greets seeds and, in turn, one of the gone, so that halves rejoin.
func (l *List) contactUnreachable(live []Member) {
	known := map[ids.Address]bool{l.Self.Address: true}
	for _, m := range live {
		known[m.Address] = true
	}
	for _, seed := range l.unknownSeeds(known) {
		l.out.Send(seed, Heartbeat{Self: l.Self, Digest: l.currentDigest()})
	}
	var dead []Member
	for _, m := range l.All() {
		if m.Gone && !known[m.Address] {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		m := dead[int(l.Self.Sequence+ids.Sequence(l.version)+ids.Sequence(l.nextRejoin/ids.Time(time.Second)))%len(dead)]
		l.out.Send(m.Address, Heartbeat{Self: l.Self, Digest: l.currentDigest()})
	}
}
