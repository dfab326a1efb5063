// Package rollcall is how our daemons know one another: each heartbeats to a
// few watchers that its place on a ring names, and copies of the roll merge
// member by member.
package rollcall

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
)

// Role is what a daemon does.
type Role uint8

// The three programs.
const (
	Counter Role = iota + 1
	Foreman
	Stockroom
)

func (r Role) String() string {
	return [...]string{"none", "counter", "foreman", "stockroom"}[min(r, 3)]
}

// Member is one daemon as the roll holds it.
type Member struct {
	ID          ticket.Daemon
	Role        Role
	Address     ticket.Address
	HTTP        ticket.Address
	Cell        ticket.Name
	Start       ticket.Start
	Incarnation ticket.Incarnation
	Sequence    ticket.Sequence
	Gone        bool
	Ready       bool
	// Holds is the newest policy the daemon has, so a founder finds the best.
	Holds ticket.Revision
	// Store is the store id of a stockroom; zero for the others.
	Store uint64
	// Serves is where a counter takes consumers, if not at HTTP.
	Serves ticket.Address
}

// Consumers is where a counter takes consumers.
func (m Member) Consumers() ticket.Address { return cmp.Or(m.Serves, m.HTTP) }

// newer tells whether m replaces n. A suspicion beats its own incarnation's
// life, and only a higher incarnation refutes it.
func (m Member) newer(n Member) bool {
	if m.Incarnation != n.Incarnation {
		return m.Incarnation > n.Incarnation
	}
	if m.Gone != n.Gone {
		return m.Gone
	}
	return m.Sequence > n.Sequence
}

// Heartbeat is what a daemon tells its watchers. Digest sums up its roll, so
// that differing copies find one another out.
type Heartbeat struct {
	Self   Member
	Digest uint64
}

// Copy is a whole roll. Final asks for no copy in return.
type Copy struct {
	Members []Member
	Final   bool
}

// Outline sums up a roll part by part, so that only the parts that differ are
// sent.
type Outline struct{ Parts []uint64 }

// Portion holds the members of some parts. Final asks for nothing in return.
type Portion struct {
	Parts   []uint16
	Members []Member
	Final   bool
}

// Suspect is a watcher's word to the foremen.
type Suspect struct {
	Watcher     ticket.Daemon
	ID          ticket.Daemon
	Incarnation ticket.Incarnation
}

var _ = parcel.Register(10, Heartbeat{}) && parcel.Register(11, Copy{}) && parcel.Register(12, Suspect{}) &&
	parcel.Register(13, Outline{}) && parcel.Register(14, Portion{})

// Params are the options of a roll; zero ones take the defaults.
type Params struct {
	Self     Member
	Seeds    []ticket.Address
	Watchers int
	Beat     time.Duration
	Silence  time.Duration
	// Thrifty: what a daemon tells of the roll doesn't grow with the fleet. Copies
	// that differ are compared part by part, and foremen relay what changed.
	Thrifty bool
}

func (p *Params) fill() {
	if p.Watchers == 0 {
		p.Watchers = 3
	}
	if p.Thrifty && p.Beat == 0 && p.Silence == 0 {
		p.Beat, p.Silence = 400*time.Millisecond, 1200*time.Millisecond
	}
	if p.Beat == 0 {
		p.Beat = 250 * time.Millisecond
	}
	if p.Silence == 0 {
		p.Silence = time.Second
	}
}

func place(id ticket.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// ring orders members by their place; ids break ties.
func ring(members []Member) {
	at := make(map[ticket.Daemon]uint64, len(members))
	for _, m := range members {
		at[m.ID] = place(m.ID)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(at[a.ID], at[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// watchers names the k members that come after id on the ring.
func watchers(members []Member, id ticket.Daemon, k int) []Member {
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	var out []Member
	for i := 1; i < len(members) && len(out) < k; i++ {
		out = append(out, members[(at+i)%len(members)])
	}
	return out
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
