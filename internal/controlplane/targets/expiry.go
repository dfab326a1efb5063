package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// MaxMissedHeartbeats is the number of heartbeat intervals that a target may be silent before
	// it is declared dead: one heartbeat may be lost and the next one late.
	MaxMissedHeartbeats = 3
	// maxMissedWithoutRegistrar replaces MaxMissedHeartbeats while the target's registrar isn't
	// running. The registrar may only be partitioned from this copy and still receive the target's
	// heartbeats, and proxies detect by themselves whether the target responds.
	maxMissedWithoutRegistrar = 10
	// maxTickGap is the maximum time between two calls of Tick. A longer gap means that this
	// process was paused and couldn't receive heartbeats.
	maxTickGap = time.Second
)

// Tick declares dead the targets that have been silent for too long and returns them. A pause of
// this process doesn't count as silence of the targets.
func (t *Table) Tick(now ids.Time) []Target {
	if t.lastTick != 0 && now.Sub(t.lastTick) > maxTickGap {
		t.ExtendDeadlines(now)
	}
	t.lastTick = now
	return t.ExpireSilent(now)
}

// ExtendDeadlines restarts the expiry timeout of every target. It is called when no heartbeats
// could be received until now.
func (t *Table) ExtendDeadlines(now ids.Time) {
	for _, e := range t.entries {
		e.lastHeard = now
	}
}

// ExpireSilent is like Tick but ignores pauses of this process. This is safer for a proxy, which
// learns all live targets again from the first push after the pause.
func (t *Table) ExpireSilent(now ids.Time) []Target {
	var expired []Target
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		if e.Dead || now.Sub(e.lastHeard) <= e.maxSilence() {
			continue
		}
		t.markDead(e)
		expired = append(expired, e.Target)
	}
	return expired
}

// maxSilence returns how long the target may be silent before it is declared dead.
func (e *entry) maxSilence() time.Duration {
	missed := MaxMissedHeartbeats
	if e.registrarLost {
		missed = maxMissedWithoutRegistrar
	}
	return time.Duration(missed) * millis(uint64(e.IntervalMillis))
}

// RenewRegistered renews the targets whose registrar is still in the run that they registered
// with, because that registrar would have reported their death. The targets of a registrar that is
// dead or was restarted aren't renewed until they send another heartbeat. Targets that registered
// with this registry aren't affected.
func (t *Table) RenewRegistered(now ids.Time, isRunning func(ids.DaemonID, ids.RunID) bool) {
	for _, e := range t.entries {
		if e.Dead || e.Registrar == "" || e.Registrar == t.Self {
			e.registrarLost = false
			continue
		}
		e.registrarLost = !isRunning(e.Registrar, e.RegistrarRunID)
		if !e.registrarLost {
			e.lastHeard = max(e.lastHeard, now)
		}
	}
}

// PurgeDead removes the targets that have been dead for longer than the retention time, so that the
// table doesn't grow without bound.
func (t *Table) PurgeDead(now ids.Time, retention time.Duration) {
	for id, e := range t.entries {
		if e.Dead && now.Sub(e.lastHeard) > retention {
			delete(t.entries, id)
			t.version++
			t.proxyVersion++
		}
	}
}
