package membership

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Heartbeat is sent periodically by a member to its watchers, and to seeds and dead members to
// join or rejoin them.
type Heartbeat struct {
	Self Member
	// Digest is the checksum of the sender's list; a receiver whose own differs starts to
	// reconcile.
	Digest uint64
}

// Snapshot carries a whole list.
type Snapshot struct {
	Members []Member
	// Final means that no snapshot is expected in reply.
	Final bool
}

// Digest carries the checksums of the parts of a list, so that only the parts that differ need to
// be sent.
type Digest struct{ Parts []uint64 }

// Delta carries the members of some parts of a list, or members that changed.
type Delta struct {
	Parts   []uint16
	Members []Member
	// Final means that no delta is expected in reply.
	Final bool
}

// Suspect reports to the registries that a watcher suspects a member.
type Suspect struct {
	Watcher     ids.DaemonID
	Member      ids.DaemonID
	Incarnation ids.Incarnation
	// SilenceMillis is the silence after which the watcher suspected the member, in milliseconds.
	// It is longer for members with irregular heartbeats, which also get more time to answer a
	// registry's probes.
	SilenceMillis uint32
}

// Withdraw revokes a Suspect, because the watcher has heard from the member since.
type Withdraw struct {
	Watcher ids.DaemonID
	Member  ids.DaemonID
}

// Probe requests a ProbeReply from a member. It is sent before a member is suspected, and again
// before it is declared dead, so that a member isn't declared dead because a heartbeat was late,
// or went to another watcher because two lists differ.
type Probe struct{ ID ids.DaemonID }

// ProbeReply shows that a probed member is alive.
type ProbeReply struct{ Self Member }

var _ = wire.Register(10, Heartbeat{}) && wire.Register(11, Snapshot{}) && wire.Register(12, Suspect{}) &&
	wire.Register(13, Digest{}) && wire.Register(14, Delta{}) &&
	wire.Register(15, Probe{}) && wire.Register(16, ProbeReply{}) && wire.Register(17, Withdraw{})
