package targets

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Target is one service instance as it last announced itself. The JSON form is both
// what targets send and what status pages show; the order of the fields is the order
// on the wire.
type Target struct {
	Instance ids.InstanceID `json:"instance"`
	// Incarnation is raised by the target with each start.
	Incarnation ids.Incarnation `json:"incarnation"`
	// Sequence is raised by the target with each heartbeat of an incarnation.
	Sequence ids.Sequence `json:"sequence"`
	Service  ids.Name     `json:"service"`
	Address  ids.Address  `json:"address"`
	Zone     ids.Name     `json:"cell"`
	// Draining says that the target is draining: it gets no new requests.
	Draining bool `json:"leaving"`
	// Dead says that the target was declared gone, by its silence, by a newer owner of
	// its address or by itself.
	Dead bool `json:"gone"`
	// Warmth is the share of its normal load that the target can take, from 0 to 1;
	// 1 if it doesn't say.
	Warmth float64 `json:"warmth"`
	// Occupancy is the number of requests that the target is running.
	Occupancy int64 `json:"occupancy"`
	// Capacity is the number of requests that the target can run at once; 0 if it
	// doesn't say.
	Capacity int64 `json:"capacity"`
	// IntervalMillis is the time between two heartbeats, in milliseconds.
	IntervalMillis uint32 `json:"interval_ms"`
	// AgeMillis is how long this incarnation had been known when the entry was last
	// passed on, in milliseconds.
	AgeMillis uint64 `json:"age_ms"`
	// SlowStartMillis is how much longer the target asks for reduced load, in
	// milliseconds, as of when the entry was last passed on.
	SlowStartMillis uint64 `json:"cold_ms"`
	// Registrar is the registry that the target last sent a heartbeat to. While that
	// registry runs, the others needn't be told of each heartbeat.
	Registrar ids.DaemonID `json:"-"`
	// RegistrarRunID is the run of the registrar that received the heartbeat.
	RegistrarRunID ids.RunID `json:"-"`
	// ProxySequence is the sequence number at which the target last changed in a way
	// that proxies see; 0 if the sender doesn't track it.
	ProxySequence ids.Sequence `json:"-"`
}

// FinalSequence is the sequence number of a target that has said itself that it ends. No
// heartbeat has one as high, so nothing of the same incarnation comes after it.
const FinalSequence ids.Sequence = maxCounter + 1

// Newer reports whether t replaces other. At the same incarnation and sequence number
// a declaration that the target is gone wins, so it holds until the target sends a
// later heartbeat.
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
