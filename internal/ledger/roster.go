package ledger

import (
	"slices"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
)

// The roster's own operations; numbers from 200 up are kept for them.
const (
	OpJoin Op = 200 + iota
	OpSettle
	OpAbandon
)

// Joining asks for a store to take a lost one's place.
type Joining struct {
	New  Store
	Lost uint64
	// Copies is how many stores the roster may grow to, where Lost is 0.
	Copies int
}

// Number names the roster that a settling or abandoning is about.
type Number struct{ Number uint64 }

var _ = parcel.Register(42, Joining{}) && parcel.Register(43, Number{})

// RosterOps are the change functions of the roster's register. Each reads
// what it is asked to change and leaves anything else alone, so that several
// stockrooms may ask for the same thing.
func RosterOps() map[Op]Func {
	return map[Op]Func{OpJoin: join, OpSettle: settle, OpAbandon: abandon}
}

func write(old []byte, r Roster) ([]byte, []byte) {
	raw, err := parcel.Pack(r)
	if err != nil {
		return old, old
	}
	return raw, raw
}

// join makes the roster joint: old and next must both agree from here on.
func join(_ ticket.Key, old, arg []byte) ([]byte, []byte) {
	r, ok := unpack[Roster](old)
	j, fine := unpack[Joining](arg)
	// One replacement at a time; another waits until this one is settled.
	if !ok || !fine || len(r.Next) > 0 || r.Has(j.New.ID) {
		return old, old
	}
	r.Next = slices.Clone(r.Stores)
	switch at := slices.IndexFunc(r.Stores, func(s Store) bool { return s.ID == j.Lost }); {
	case at >= 0:
		r.Next[at] = j.New
	case j.Lost == 0 && len(r.Stores) < j.Copies:
		// Nobody is lost: there are to be more copies than were founded with.
		r.Next = append(r.Next, j.New)
	default:
		return old, old
	}
	r.Number++
	return write(old, r)
}

// settle ends the joint time once the newcomer holds a copy of everything.
func settle(_ ticket.Key, old, arg []byte) ([]byte, []byte) {
	r, ok := unpack[Roster](old)
	n, fine := unpack[Number](arg)
	if !ok || !fine || n.Number != r.Number || len(r.Next) == 0 {
		return old, old
	}
	r.Stores, r.Next = r.Next, nil
	r.Number++
	return write(old, r)
}

// abandon goes back to the old stores when the newcomer itself was lost.
// What was agreed meanwhile had a majority of the old as well.
func abandon(_ ticket.Key, old, arg []byte) ([]byte, []byte) {
	r, ok := unpack[Roster](old)
	n, fine := unpack[Number](arg)
	if !ok || !fine || n.Number != r.Number || len(r.Next) == 0 {
		return old, old
	}
	r.Next = nil
	r.Number++
	return write(old, r)
}

// OpenRoster reads a roster from a register's value.
func OpenRoster(raw []byte) (Roster, bool) { return unpack[Roster](raw) }
