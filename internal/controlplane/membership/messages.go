package membership

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Heartbeat is what a member sends to its watchers, and to seeds and dead members that
// it wants to meet.
type Heartbeat struct {
	Self Member
	// Digest is the checksum of the sender's list; a receiver with another one
	// starts to reconcile.
	Digest uint64
}

// Snapshot carries a whole list.
type Snapshot struct {
	Members []Member
	// Final asks for no snapshot in return.
	Final bool
}

// Digest carries the checksums of the parts of a list, so that only the parts that
// differ need be sent.
type Digest struct{ Parts []uint64 }

// Delta carries the members of some parts of a list, or members that changed.
type Delta struct {
	Parts   []uint16
	Members []Member
	// Final asks for no delta in return.
	Final bool
}

// Suspect reports to the registries that a watcher hears nothing from a member.
type Suspect struct {
	Watcher     ids.DaemonID
	Member      ids.DaemonID
	Incarnation ids.Incarnation
	// SilenceMillis is the silence after which the watcher suspected the member, in
	// milliseconds. It is longer for members with irregular heartbeats, which are
	// also given longer to answer a registry's probe.
	SilenceMillis uint32
}

// Withdraw takes a Suspect back, as the watcher has heard from the member since.
type Withdraw struct {
	Watcher ids.DaemonID
	Member  ids.DaemonID
}

// Probe asks a member for a ProbeReply. It is sent before a member is suspected, and
// again before it is declared dead, so that a late heartbeat, or one that goes to
// another watcher because two lists differ, isn't taken for a death.
type Probe struct{ ID ids.DaemonID }

// ProbeReply shows that a probed member is alive.
type ProbeReply struct{ Self Member }

var _ = wire.Register(10, Heartbeat{}) && wire.Register(11, Snapshot{}) && wire.Register(12, Suspect{}) &&
	wire.Register(13, Digest{}) && wire.Register(14, Delta{}) &&
	wire.Register(15, Probe{}) && wire.Register(16, ProbeReply{}) && wire.Register(17, Withdraw{})
