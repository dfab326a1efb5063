// Package membership is how our daemons know one another: each heartbeats to a
// few watchers that its place on a ring names, and copies of the roll merge
// member by member.
package membership

import (
	"cmp"
	"strconv"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Role is what a daemon does.
type Role uint8

// The three programs.
const (
	Proxy Role = iota + 1
	Registry
	Store
)

// String names the role in logs and on status pages.
func (r Role) String() string {
	return [...]string{"none", "proxy", "registry", "store"}[min(r, 3)]
}

// Member is one daemon as the roll holds it.
type Member struct {
	ID          ids.DaemonID
	Role        Role
	Address     ids.Address
	HTTP        ids.Address
	Zone        ids.Name
	RunID       ids.RunID
	Incarnation ids.Incarnation
	Sequence    ids.Sequence
	Gone        bool
	Ready       bool
	// Revision is the newest configuration the daemon has, so a founder finds the best.
	Revision ids.Revision
	// Store is the store id of a store; zero for the others.
	Store uint64
	// ClientListen is where a proxy takes clients, if not at HTTP.
	ClientListen ids.Address
}

// ClientAddress is where a proxy takes clients.
func (m Member) ClientAddress() ids.Address { return cmp.Or(m.ClientListen, m.HTTP) }

// supersedes tells whether m replaces n. A suspicion beats its own incarnation's
// life, and only a higher incarnation refutes it.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Gone != other.Gone {
		return m.Gone
	}
	return m.Sequence > other.Sequence
}

// Heartbeat is what a daemon tells its watchers. Digest sums up its roll, so
// that differing copies find one another out.
type Heartbeat struct {
	Self   Member
	Digest uint64
}

// Copy is a whole roll. Final asks for no copy in return.
type Snapshot struct {
	Members []Member
	Final   bool
}

// Outline sums up a roll part by part, so that only the parts that differ are
// sent.
type Digest struct{ Parts []uint64 }

// Portion holds the members of some parts. Final asks for nothing in return.
type Delta struct {
	Parts   []uint16
	Members []Member
	Final   bool
}

// Suspect is a watcher's word to the registries.
type Suspect struct {
	Watcher     ids.DaemonID
	ID          ids.DaemonID
	Incarnation ids.Incarnation
	// SilenceMillis is how long the member was silent, in milliseconds. A member whose
	// heartbeats are irregular is accused later, and is given longer to answer.
	SilenceMillis uint32
}

var _ = wire.Register(10, Heartbeat{}) && wire.Register(11, Snapshot{}) && wire.Register(12, Suspect{}) &&
	wire.Register(13, Digest{}) && wire.Register(14, Delta{})

// Options are the options of a roll; zero ones take the defaults.
type Options struct {
	Self              Member
	Seeds             []ids.Address
	Watchers          int
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
	// Thrifty: what a daemon tells of the roll doesn't grow with the fleet. Copies
	// that differ are compared part by part, and registries relay what changed.
	Incremental bool
}

func (o *Options) setDefaults() {
	if o.Watchers == 0 {
		o.Watchers = 3
	}
	if o.Incremental && o.HeartbeatInterval == 0 && o.SuspicionTimeout == 0 {
		o.HeartbeatInterval, o.SuspicionTimeout = 400*time.Millisecond, 1200*time.Millisecond
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 250 * time.Millisecond
	}
	if o.SuspicionTimeout == 0 {
		o.SuspicionTimeout = time.Second
	}
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
