package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// MaxMissedHeartbeats is how many heartbeat intervals a target may be silent
	// before it is declared gone: one heartbeat may be lost and the next one late.
	MaxMissedHeartbeats = 3
	// maxMissedWithoutRegistrar takes the place of MaxMissedHeartbeats while the
	// target's registrar isn't running. The target may be sending its heartbeats to a
	// registrar that is only cut off from this copy, and the proxies that use it see
	// for themselves whether it answers.
	maxMissedWithoutRegistrar = 10
	// maxTickGap is how far apart two calls of Tick may be. After a longer gap this
	// process was paused, and what it didn't hear meanwhile proves nothing.
	maxTickGap = time.Second
)

// Tick declares gone the targets that have been silent for too long and returns
// them. A pause of this process isn't counted as silence of the targets.
func (t *Table) Tick(now ids.Time) []Target {
	if t.lastTick != 0 && now.Sub(t.lastTick) > maxTickGap {
		t.ExtendDeadlines(now)
	}
	t.lastTick = now
	return t.ExpireSilent(now)
}

// ExtendDeadlines counts the silence of every target from now on. It is called when
// nothing could be heard until now.
func (t *Table) ExtendDeadlines(now ids.Time) {
	for _, e := range t.entries {
		e.lastHeard = now
	}
}

// ExpireSilent is Tick without regard to pauses of this process. It is the safer way
// for a proxy, which learns of all live targets anew from the first push after the
// pause.
func (t *Table) ExpireSilent(now ids.Time) []Target {
	var expired []Target
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		if e.Dead || now.Sub(e.lastHeard) <= e.maxSilence() {
			continue
		}
		t.markGone(e)
		expired = append(expired, e.Target)
	}
	return expired
}

// maxSilence is how long the target may be silent before it is declared gone.
func (e *entry) maxSilence() time.Duration {
	missed := MaxMissedHeartbeats
	if e.registrarLost {
		missed = maxMissedWithoutRegistrar
	}
	return time.Duration(missed) * millis(uint64(e.IntervalMillis))
}

// ConfirmRegistrars counts a target as alive while its registrar is in the run that
// the target registered with, as that registrar would have reported its death. The
// targets of a registrar that is gone or was restarted are silent until they send
// another heartbeat. Targets registered with this registry itself are left alone.
func (t *Table) ConfirmRegistrars(now ids.Time, isRunning func(ids.DaemonID, ids.RunID) bool) {
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

// Forget drops the targets that have been gone for longer than the retention time,
// so that the table doesn't grow for ever.
func (t *Table) Forget(now ids.Time, retention time.Duration) {
	for id, e := range t.entries {
		if e.Dead && now.Sub(e.lastHeard) > retention {
			delete(t.entries, id)
			t.version++
			t.proxyVersion++
		}
	}
}
