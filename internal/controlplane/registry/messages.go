package registry

// Messages between registries. Their kind numbers are part of the wire format.

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// PeerHeartbeat is sent by every registry to its peers at a fixed interval. It
// shows that the sender is running, how recently it reached a majority of stores, and
// whether its target table equals the receiver's.
type PeerHeartbeat struct {
	ID                  ids.DaemonID
	RunID               ids.RunID
	QuorumReadAgeMillis uint32
	TargetsDigest       uint64
	Number              ids.StreamNumber
}

// DepartureNotice asks another registry for a DepartureAck once all proxies
// assigned to it have applied a target's departure.
type DepartureNotice struct {
	Requester ids.Address
	Target    targets.Target
}

// DepartureAck answers a DepartureNotice.
type DepartureAck struct {
	ID          ids.DaemonID
	Instance    ids.InstanceID
	Sequence    ids.Sequence
	Incarnation ids.Incarnation
}

// covers reports whether an acknowledgement is for this update of a target or a later
// one. Registries of earlier versions leave the incarnation zero.
func (a DepartureAck) covers(target targets.Target) bool {
	sameIncarnation := a.Incarnation == target.Incarnation || a.Incarnation == 0
	return a.Instance == target.Instance && sameIncarnation && a.Sequence >= target.Sequence
}

// TableDigest holds one digest for each part of a registry's target table. The
// receiver replies with its targets in the parts whose digests differ.
type TableDigest struct{ Parts []uint64 }

var _ = wire.Register(75, TableDigest{}) &&
	wire.RegisterNamed(72, "registry.Pulse", PeerHeartbeat{}) &&
	wire.Register(73, DepartureNotice{}) &&
	wire.Register(74, DepartureAck{})
