package membership

import (
	"cmp"

	"dunlinwell/internal/base/ids"
)

// Role identifies the program that a daemon runs.
type Role uint8

// Roles of daemons.
const (
	Proxy Role = iota + 1
	Registry
	Store
)

// String returns the name of the role for logs and status pages.
func (r Role) String() string {
	return [...]string{"none", "proxy", "registry", "store"}[min(r, 3)]
}

// Member is the entry of one daemon in the membership list. The order of the fields is the order
// on the wire.
type Member struct {
	ID   ids.DaemonID
	Role Role
	// Address is where the daemon accepts connections from other daemons.
	Address ids.Address
	// HTTPAddress is where the daemon serves HTTP.
	HTTPAddress ids.Address
	Zone        ids.Name
	// RunID identifies the run of the daemon's process.
	RunID ids.RunID
	// Incarnation is raised by the member to refute its death or the entry of another run.
	Incarnation ids.Incarnation
	// Sequence is raised by the member with each change of its entry.
	Sequence ids.Sequence
	// Dead reports whether the member was declared dead.
	Dead  bool
	Ready bool
	// Revision is the newest configuration that the daemon has, or had when its entry last changed
	// (see UpdateSelf). A value above 0 shows that a cluster exists, which prevents blank stores
	// from bootstrapping a new one.
	Revision ids.Revision
	// StoreID is the ID of a store; 0 for other roles.
	StoreID uint64
	// ClientListen is where a proxy accepts client connections; empty if that is HTTPAddress.
	ClientListen ids.Address
}

// ClientAddress returns the address at which a proxy accepts client connections.
func (m Member) ClientAddress() ids.Address { return cmp.Or(m.ClientListen, m.HTTPAddress) }

// supersedes reports whether m replaces other, an entry of the same member. Within an incarnation
// a dead entry wins, so that only the member itself can refute its death, by a higher incarnation.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Dead != other.Dead {
		return m.Dead
	}
	return m.Sequence > other.Sequence
}
