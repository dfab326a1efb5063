package registry

// The messages between registries. The numbers of their kinds belong to the wire format.

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// PeerHeartbeat is sent by every registry to the others at a fixed interval. It
// shows that the sender runs, how recently it reached a majority of stores, and
// whether its target table equals the receiver's.
type PeerHeartbeat struct {
	ID                 ids.DaemonID
	RunID              ids.RunID
	AgreementAgeMillis uint32
	TargetsDigest      uint64
	Number             ids.StreamNumber
}

// DepartureNotice asks another registry for a DepartureAck once all proxies
// assigned to it have applied that a target leaves.
type DepartureNotice struct {
	Asker  ids.Address
	Target targets.Target
}

// DepartureAck answers a DepartureNotice.
type DepartureAck struct {
	ID          ids.DaemonID
	Instance    ids.InstanceID
	Sequence    ids.Sequence
	Incarnation ids.Incarnation
}

// covers tells whether an acknowledgement is for this update of a target or for a
// later one. Registries of earlier versions leave the incarnation out.
func (a DepartureAck) covers(target targets.Target) bool {
	sameIncarnation := a.Incarnation == target.Incarnation || a.Incarnation == 0
	return a.Instance == target.Instance && sameIncarnation && a.Sequence >= target.Sequence
}

// TableDigest holds one digest for each part of a registry's target table. The
// receiver answers with its targets of the parts whose digests differ.
type TableDigest struct{ Parts []uint64 }

var _ = wire.Register(75, TableDigest{}) &&
	wire.RegisterNamed(72, "registry.Pulse", PeerHeartbeat{}) &&
	wire.Register(73, DepartureNotice{}) &&
	wire.Register(74, DepartureAck{})
