// Package target table keeps the targets: soft state, told by the targets themselves,
// merged by incarnation and sequence wherever two copies meet.
package targets

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Target is one target as it last announced itself.
type Target struct {
	Instance       ids.InstanceID  `json:"instance"`
	Incarnation    ids.Incarnation `json:"incarnation"`
	Sequence       ids.Sequence    `json:"sequence"`
	Service        ids.Name        `json:"service"`
	Address        ids.Address     `json:"address"`
	Zone           ids.Name        `json:"cell"`
	Leaving        bool            `json:"leaving"`
	Gone           bool            `json:"gone"`
	Warmth         float64         `json:"warmth"`
	Occupancy      int64           `json:"occupancy"`
	Capacity       int64           `json:"capacity"`
	IntervalMillis uint32          `json:"interval_ms"`
	// AgeMillis is how long this incarnation has been known, in milliseconds, when
	// the entry was last handed on.
	AgeMillis uint64 `json:"age_ms"`
	// SlowStartMillis is how much longer, in milliseconds, the target says it bears little,
	// as of when the entry was last handed on.
	SlowStartMillis uint64 `json:"cold_ms"`
	// Registrar is the registry that the target last spoke to, in which of its runs:
	// while it is there, the others needn't be told that the target is.
	Registrar      ids.DaemonID `json:"-"`
	RegistrarRunID ids.RunID    `json:"-"`
	// ProxySequence is the sequence at which the target last changed in what proxies go
	// by; zero from one that doesn't say.
	ProxySequence ids.Sequence `json:"-"`
}

// Newer tells whether t replaces u. A verdict of "gone" holds until the
// target itself says something later.
func (t Target) Newer(other Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	if t.Sequence != other.Sequence {
		return t.Sequence > other.Sequence
	}
	return t.Gone && !other.Gone
}

// Usable tells whether new work may go to the target at all.
func (t Target) Usable() bool { return !t.Gone && !t.Leaving }

// Share carries targets between registries.
type Update struct{ Targets []Target }

var _ = wire.Register(70, Update{})

// Yard is a copy of all targets.
type Table struct {
	entries map[ids.InstanceID]*entry
	version uint64
	// proxyVersion counts the changes that matter to proxies.
	proxyVersion uint64
	lastTick     ids.Time
	// Thrifty: a word that says nothing new but that its target is there is noted
	// and not handed on, so that what is told of targets doesn't grow with beats.
	Incremental bool
	// Self is the registry whose copy this is, if it is one's.
	Self ids.DaemonID
}

type entry struct {
	Target
	lastHeard ids.Time
	firstSeen ids.Time
	// latestSequence is the sequence of the target's last word, whether or not it said
	// anything new; cold is until when it bears little.
	latestSequence ids.Sequence
	slowStartUntil ids.Time
	// orphan: its keeper isn't there, so that its silence may be the keeper's.
	registrarLost bool
}

// New makes an empty target table.
func New() *Table { return &Table{entries: map[ids.InstanceID]*entry{}} }

// MaxMissedHeartbeats is how many intervals of silence count as gone.
const MaxMissedHeartbeats = 3

// Merge takes what a target or another copy says; it gives what changed,
// among it earlier owners of an address that now is another's.
func (t *Table) Merge(now ids.Time, updates ...Target) []Target {
	return t.MergeAsOf(now, now, updates...)
}

// MergeAsOf is Merge of news that may have waited on its way since a time: a
// target that was alive then needn't be now.
func (t *Table) MergeAsOf(now, asOf ids.Time, updates ...Target) []Target {
	var changed []Target
	for _, update := range updates {
		e, known := t.entries[update.Instance]
		if known && !update.Newer(e.latest()) {
			if t.Incremental && e.refutesDeath(update) {
				// Others go by a verdict that this copy knows to be wrong.
				e.Target.Sequence, e.Target.ProxySequence = e.latestSequence, e.latestSequence
				t.version++
				t.proxyVersion++
				changed = append(changed, e.Target)
			}
			continue
		}
		if known && t.Incremental && e.isRenewal(now, update) {
			e.latestSequence, e.lastHeard = update.Sequence, max(e.lastHeard, asOf)
			continue
		}
		isNew := !known || e.Incarnation != update.Incarnation
		if isNew {
			e = &entry{firstSeen: now.Add(-time.Duration(update.AgeMillis) * time.Millisecond)}
			t.entries[update.Instance] = e
		} else if firstSeen := now.Add(-time.Duration(update.AgeMillis) * time.Millisecond); firstSeen < e.firstSeen {
			// Another copy has known it for longer.
			e.firstSeen = firstSeen
		}
		if !update.Gone {
			e.lastHeard = asOf
		}
		update = t.withProxySequence(now, e, update)
		e.Target, e.latestSequence = update, update.Sequence
		e.slowStartUntil = now.Add(time.Duration(update.SlowStartMillis) * time.Millisecond)
		t.version++
		changed = append(changed, update)
		if isNew && !update.Gone {
			changed = append(changed, t.displaceAddress(update)...)
		}
	}
	return changed
}

// displaceAddress ends whoever had the address before its newer owner.
func (t *Table) displaceAddress(owner Target) []Target {
	var out []Target
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		if e.Address == owner.Address && id != owner.Instance && !e.Gone {
			e.Gone = true
			t.version++
			t.proxyVersion++
			out = append(out, e.Target)
		}
	}
	return out
}

// Tick counts those silent for too long as gone, and gives them.
func (t *Table) Tick(now ids.Time) []Target {
	// A gap in our own clock events is our silence, not the targets'.
	if t.lastTick != 0 && now.Sub(t.lastTick) > time.Second {
		t.ExtendDeadlines(now)
	}
	t.lastTick = now
	return t.ExpireSilent(now)
}

// ExtendDeadlines counts silence from now on: until now nothing could be heard here.
func (t *Table) ExtendDeadlines(now ids.Time) {
	for _, e := range t.entries {
		e.lastHeard = now
	}
}

// ExpireSilent counts the silent without minding a gap of our own. For a proxy, which
// hears all targets anew in the first push after it woke, that is the safer way.
func (t *Table) ExpireSilent(now ids.Time) []Target {
	var out []Target
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		missed := time.Duration(MaxMissedHeartbeats)
		if e.registrarLost {
			missed = maxMissedWithoutRegistrar
		}
		if e.Gone || now.Sub(e.lastHeard) <= missed*time.Duration(e.IntervalMillis)*time.Millisecond {
			continue
		}
		e.Gone = true
		t.version++
		t.proxyVersion++
		out = append(out, e.Target)
	}
	return out
}

// Forget drops those gone for a good while; a target table must not grow for ever.
func (t *Table) Forget(now ids.Time, retention time.Duration) {
	for id, e := range t.entries {
		if e.Gone && now.Sub(e.lastHeard) > retention {
			delete(t.entries, id)
			t.version++
			t.proxyVersion++
		}
	}
}

// All gives every target, in order of instance, with its age as of now.
func (t *Table) All(now ids.Time) []Target {
	out := make([]Target, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		target := t.entries[id].Target
		target.AgeMillis = uint64(max(now.Sub(t.entries[id].firstSeen), 0) / time.Millisecond)
		target.SlowStartMillis = uint64(max(t.entries[id].slowStartUntil.Sub(now), 0) / time.Millisecond)
		out = append(out, target)
	}
	return out
}

// Get finds a target, with its age as of now.
func (t *Table) Get(now ids.Time, id ids.InstanceID) (Target, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Target{}, false
	}
	target := e.Target
	target.AgeMillis = uint64(max(now.Sub(e.firstSeen), 0) / time.Millisecond)
	return target, true
}

// LatestSequence gives the sequence of a target's last word.
func (t *Table) LatestSequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.latest().Sequence
	}
	return 0
}

// Len is how many targets are known, gone ones among them.
func (t *Table) Len() int { return len(t.entries) }

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }
