package targets

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Target is one service instance as it last announced itself. The JSON form is used in
// announcements and on status pages; the order of the fields is the order on the wire.
type Target struct {
	Instance ids.InstanceID `json:"instance"`
	// Incarnation is raised by the target with each start.
	Incarnation ids.Incarnation `json:"incarnation"`
	// Sequence is raised by the target with each heartbeat of an incarnation.
	Sequence ids.Sequence `json:"sequence"`
	Service  ids.Name     `json:"service"`
	Address  ids.Address  `json:"address"`
	Zone     ids.Name     `json:"cell"`
	// Draining reports whether the target is draining and gets no new requests.
	Draining bool `json:"leaving"`
	// Dead reports whether the target was declared dead because it was silent, because another
	// target took over its address, or by the target itself.
	Dead bool `json:"gone"`
	// Warmth is the fraction of its normal load that the target can take, from 0 to 1; 1 if the
	// announcement doesn't contain it.
	Warmth float64 `json:"warmth"`
	// Occupancy is the number of requests that the target is processing.
	Occupancy int64 `json:"occupancy"`
	// Capacity is the number of requests that the target can process concurrently; 0 if unknown.
	Capacity int64 `json:"capacity"`
	// IntervalMillis is the time between two heartbeats, in milliseconds.
	IntervalMillis uint32 `json:"interval_ms"`
	// AgeMillis is how long this incarnation had been known when the entry was last forwarded, in
	// milliseconds.
	AgeMillis uint64 `json:"age_ms"`
	// SlowStartMillis is the remaining slow-start time, in milliseconds, when the entry was last
	// forwarded.
	SlowStartMillis uint64 `json:"cold_ms"`
	// Registrar is the registry that the target last sent a heartbeat to. While that registry
	// runs, heartbeats needn't be forwarded to the other registries.
	Registrar ids.DaemonID `json:"-"`
	// RegistrarRunID is the run of the registrar that received the heartbeat.
	RegistrarRunID ids.RunID `json:"-"`
	// ProxySequence is the sequence number at which the target last changed in a way that is
	// visible to proxies; 0 if the sender doesn't track it.
	ProxySequence ids.Sequence `json:"-"`
}

// FinalSequence is the sequence number of a target that has announced its own shutdown. It is
// higher than that of any heartbeat, so no later update of the same incarnation can replace it.
const FinalSequence ids.Sequence = maxCounter + 1

// Newer reports whether t replaces other. At the same incarnation and sequence number a declaration
// of death wins, and remains in effect until the target sends a later heartbeat.
func (t Target) Newer(other Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	if t.Sequence != other.Sequence {
		return t.Sequence > other.Sequence
	}
	return t.Dead && !other.Dead
}

// Usable reports whether new requests may be sent to the target.
func (t Target) Usable() bool { return !t.Dead && !t.Draining }

// Update carries targets from one registry to another.
type Update struct{ Targets []Target }

var _ = wire.Register(70, Update{})
