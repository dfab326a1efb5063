// Package ledger keeps registers: each item is a compare-and-set register
// agreed on by a majority of stockrooms, with no log and no leader, in the
// manner of CASPaxos (Rystsov). See docs/design.md for what was kept.
package ledger

import (
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
)

// Store is one acceptor of the roster. Its id is made with its data folder,
// so a blank disk can never vote as the one that was lost.
type Store struct {
	ID      uint64
	Address ticket.Address
}

// Roster names the acceptors. While Next is filled, both it and Stores must
// have a majority.
type Roster struct {
	Number uint64
	Stores []Store
	Next   []Store
	// Loss counts the times that disks were given up and marks with them.
	Loss uint64
}

// Prepare asks for a promise, Peek set only for what was accepted.
type Prepare struct {
	Key    ticket.Key
	Ballot ticket.Ballot
	Roster uint64
	Round  uint64
	Peek   bool
	// Known is the ballot of a value that the proposer has at hand; one who holds
	// that very value needn't send it.
	Known ticket.Ballot
}

// Promise answers Prepare. Promised above the asked ballot is a decline.
type Promise struct {
	Key      ticket.Key
	Store    uint64
	Round    uint64
	Roster   uint64
	Promised ticket.Ballot
	Accepted ticket.Ballot
	Value    []byte
	// Same: the value is left out, as it is that of the Known ballot.
	Same bool
}

// Accept asks for a value to be kept, and with it for a promise to Next, so
// that the proposer's next change needs no Prepare of its own.
type Accept struct {
	Key    ticket.Key
	Ballot ticket.Ballot
	Next   ticket.Ballot
	Roster uint64
	Round  uint64
	Value  []byte
	// First: only where nobody has promised or accepted anything yet. It takes
	// every store to choose such a value, not a majority.
	First bool
}

// Accepted answers Accept.
type Accepted struct {
	Key      ticket.Key
	Store    uint64
	Round    uint64
	Roster   uint64
	OK       bool
	Promised ticket.Ballot
}

// News carries a roster to one who goes by an older one.
type News struct{ Roster Roster }

// Ask is a wish to read or change a register, sent to any stockroom.
type Ask struct {
	ID  uint64
	Key ticket.Key
	Op  Op
	Arg []byte
	// Wait is how long the asker will wait, in milliseconds.
	Wait uint32
	// Try counts the times it was sent; an answer speaks for that one alone.
	Try uint32
	// Have sums up the value that the asker holds; a read that finds the same
	// says so and leaves it out. 0 for none.
	Have uint64
}

// Told answers Ask.
type Told struct {
	ID    uint64
	State State
	Out   []byte
	Try   uint32
	// Same: Out is left out, as the asker has it.
	Same bool
}

// Op names a change function.
type Op uint8

// Read leaves the register as it is and gives its value.
const Read Op = 0

// State says how an Ask ended.
type State uint8

// Done: chosen. Declined: surely without effect. Uncertain: may yet take
// effect. The three are never mixed.
const (
	Done State = iota + 1
	Declined
	Uncertain
)

func (s State) String() string {
	return [...]string{"none", "done", "declined", "uncertain"}[min(s, 3)]
}

// Page asks a member for its records after a key, for a newcomer's copy.
type Page struct {
	Roster uint64
	After  ticket.Key
	Number uint64
}

// Leaf is one record in a page.
type Leaf struct {
	Key      ticket.Key
	Accepted ticket.Ballot
	Value    []byte
}

// Leaves answers Page.
type Leaves struct {
	Store  uint64
	Roster uint64
	Number uint64
	List   []Leaf
	Last   bool
}

// Hello is how blank and founded stockrooms learn of one another.
type Hello struct {
	Store  Store
	Blank  bool
	Roster uint64
	// Response is set on the answer, which must not be answered again.
	Response bool
}

// Found hands the first roster to a blank member.
type Found struct {
	Roster Roster
	Policy []byte
}

// WhoHolds asks a counter for the policy it holds; Held answers.
type WhoHolds struct{}

// Held is a counter's copy of the policy.
type Held struct {
	Revision ticket.Revision
	Policy   []byte
}

// Chosen tells foremen of a register's new value.
type Chosen struct {
	Key   ticket.Key
	Value []byte
}

var _ = parcel.Register(20, Prepare{}) && parcel.Register(21, Promise{}) &&
	parcel.Register(22, Accept{}) && parcel.Register(23, Accepted{}) &&
	parcel.Register(24, News{}) && parcel.Register(25, Ask{}) &&
	parcel.Register(26, Told{}) && parcel.Register(27, Page{}) &&
	parcel.Register(28, Leaves{}) && parcel.Register(29, Hello{}) &&
	parcel.Register(30, Found{}) && parcel.Register(31, WhoHolds{}) &&
	parcel.Register(32, Held{}) && parcel.Register(33, Chosen{})

// Majority tells whether the stores that said yes suffice under the roster.
func (r Roster) Majority(yes map[uint64]bool) bool {
	half := func(list []Store) bool {
		n := 0
		for _, s := range list {
			if yes[s.ID] {
				n++
			}
		}
		return n*2 > len(list)
	}
	return len(r.Stores) > 0 && half(r.Stores) && (len(r.Next) == 0 || half(r.Next))
}

// Has tells whether a store votes under the roster.
func (r Roster) Has(id uint64) bool {
	for _, s := range r.All() {
		if s.ID == id {
			return true
		}
	}
	return false
}

// All gives each store once.
func (r Roster) All() []Store {
	seen := map[uint64]bool{}
	var out []Store
	for _, s := range append(append([]Store{}, r.Stores...), r.Next...) {
		if !seen[s.ID] {
			seen[s.ID] = true
			out = append(out, s)
		}
	}
	return out
}
