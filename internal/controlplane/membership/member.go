package membership

import (
	"cmp"

	"dunlinwell/internal/base/ids"
)

// Role is the program that a daemon runs.
type Role uint8

// The three programs.
const (
	Proxy Role = iota + 1
	Registry
	Store
)

// String returns the role as logs and status pages show it.
func (r Role) String() string {
	return [...]string{"none", "proxy", "registry", "store"}[min(r, 3)]
}

// Member is one daemon as the membership list holds it. The order of the fields is the
// order on the wire.
type Member struct {
	ID   ids.DaemonID
	Role Role
	// Address is where the daemon takes the connections of other daemons.
	Address ids.Address
	// HTTP is where the daemon serves HTTP.
	HTTP ids.Address
	Zone ids.Name
	// RunID is the run of the daemon's process.
	RunID ids.RunID
	// Incarnation is raised by the member to refute its death or an earlier run.
	Incarnation ids.Incarnation
	// Sequence is raised by the member with each change of its entry.
	Sequence ids.Sequence
	// Dead says that the member was declared dead.
	Dead  bool
	Ready bool
	// Revision is the newest configuration that the daemon has, or had when its entry last
	// changed (UpdateSelf). Above 0 it is a sign of an existing cluster, which keeps blank
	// stores from a bootstrap.
	Revision ids.Revision
	// Store is the store id of a store; 0 for other roles.
	Store uint64
	// ClientListen is where a proxy takes clients; empty if that is HTTP.
	ClientListen ids.Address
}

// ClientAddress returns where a proxy takes clients.
func (m Member) ClientAddress() ids.Address { return cmp.Or(m.ClientListen, m.HTTP) }

// supersedes reports whether m replaces other, which is an entry of the same member.
// Within an incarnation death wins, so that only the member itself can refute it, by a
// higher incarnation.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Dead != other.Dead {
		return m.Dead
	}
	return m.Sequence > other.Sequence
}
