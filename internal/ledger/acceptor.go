package ledger

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

// RosterKey is the register that holds the roster itself.
const RosterKey ticket.Key = "roster"

// Slot is what an acceptor keeps for each register.
type Slot struct {
	Promised ticket.Ballot
	Accepted ticket.Ballot
	Value    []byte
}

// Shelf is the disk as the machine reads it; writes go out as commands.
type Shelf interface {
	// Fetch finds a record.
	Fetch(key ticket.Key) ([]byte, bool)
	// After lists up to n records behind a key, in order.
	After(key ticket.Key, n int) []works.Record
}

var _ = parcel.Register(40, Slot{}) && parcel.Register(41, Roster{})

// Acceptor votes. All that it says waits for the disk.
type Acceptor struct {
	out    *works.Out
	shelf  Shelf
	store  uint64
	roster Roster
	// ahead holds what is on its way to the disk, by the turn that syncs it.
	ahead map[ticket.Key]waiting
	turn  uint64
}

type waiting struct {
	raw  []byte
	turn uint64
}

const slotPrefix = "item/"

// NewAcceptor takes up where the disk left off.
func NewAcceptor(store uint64, shelf Shelf, out *works.Out) *Acceptor {
	a := &Acceptor{out: out, shelf: shelf, store: store, ahead: map[ticket.Key]waiting{}}
	if raw, ok := shelf.Fetch("meta/roster"); ok {
		a.roster, _ = unpack[Roster](raw)
	}
	return a
}

func unpack[T any](raw []byte) (T, bool) {
	_, msg, err := parcel.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

func (a *Acceptor) load(key ticket.Key) []byte {
	if w, ok := a.ahead[key]; ok {
		return w.raw
	}
	raw, _ := a.shelf.Fetch(key)
	return raw
}

func (a *Acceptor) slot(key ticket.Key) Slot {
	s, _ := unpack[Slot](a.load(slotPrefix + key))
	return s
}

// keep syncs a record, and only then lets the commands out.
func (a *Acceptor) keep(key ticket.Key, msg any, then ...works.Command) {
	raw, err := parcel.Pack(msg)
	if err != nil {
		a.out.Say("error", "record not kept", "key", string(key), "problem", err.Error())
		return
	}
	a.turn++
	a.ahead[key] = waiting{raw, a.turn}
	a.out.Do(works.Settle{Turn: a.turn, Records: []works.Record{{Key: key, Value: raw}}, Then: then})
}

// Behind lets a command out only after all that was asked of the disk so far,
// since it may speak of values not yet synced.
func (a *Acceptor) Behind(c works.Command) {
	a.turn++
	a.out.Do(works.Settle{Turn: a.turn, Then: []works.Command{c}})
}

// Settled forgets what the disk now has.
func (a *Acceptor) Settled(turn uint64) {
	for k, w := range a.ahead {
		if w.turn <= turn {
			delete(a.ahead, k)
		}
	}
}

// Adopt takes a higher roster; lower ones are declined from then on.
func (a *Acceptor) Adopt(r Roster) bool {
	if r.Number <= a.roster.Number {
		return false
	}
	a.roster = r
	a.keep("meta/roster", r)
	return true
}

// stale answers one who goes by a lower roster, and takes no part.
func (a *Acceptor) stale(from ticket.Address, number uint64) bool {
	if number < a.roster.Number {
		a.Behind(works.Send{To: from, Msg: News{a.roster}})
		return true
	}
	// A member that hasn't heard of the roster yet, or isn't in it, can't vote.
	return number > a.roster.Number || !a.roster.Has(a.store)
}

// Prepare promises, or tells of a higher promise.
func (a *Acceptor) Prepare(from ticket.Address, m Prepare) {
	if a.stale(from, m.Roster) {
		return
	}
	s := a.slot(m.Key)
	p := Promise{Key: m.Key, Store: a.store, Round: m.Round, Roster: m.Roster,
		Promised: s.Promised, Accepted: s.Accepted, Value: s.Value}
	if !m.Known.Zero() && m.Known == s.Accepted {
		p.Value, p.Same = nil, true
	}
	if m.Peek || !s.Promised.Less(m.Ballot) {
		a.Behind(works.Send{To: from, Msg: p})
		return
	}
	s.Promised, p.Promised = m.Ballot, m.Ballot
	a.keep(slotPrefix+m.Key, s, works.Send{To: from, Msg: p})
}

// Accept keeps a value unless a higher ballot was promised.
func (a *Acceptor) Accept(from ticket.Address, m Accept) {
	if a.stale(from, m.Roster) {
		return
	}
	s := a.slot(m.Key)
	// One that was taken before may come again, after the promise to Next.
	ok := !m.Ballot.Less(s.Promised) || s.Accepted == m.Ballot
	if m.First {
		ok = (s.Promised.Zero() && s.Accepted.Zero()) || s.Accepted == m.Ballot
	}
	w := Accepted{Key: m.Key, Store: a.store, Round: m.Round, Roster: m.Roster, OK: ok, Promised: s.Promised}
	if !ok {
		a.Behind(works.Send{To: from, Msg: w})
		return
	}
	if s.Accepted == m.Ballot {
		a.Behind(works.Send{To: from, Msg: w})
		return
	}
	s.Promised, s.Accepted, s.Value = maxBallot(m.Ballot, m.Next), m.Ballot, m.Value
	w.Promised = s.Promised
	a.keep(slotPrefix+m.Key, s, works.Send{To: from, Msg: w})
}

// Page serves a newcomer; only members that know of its roster may.
func (a *Acceptor) Page(from ticket.Address, m Page) {
	if m.Roster != a.roster.Number {
		if m.Roster < a.roster.Number {
			a.Behind(works.Send{To: from, Msg: News{a.roster}})
		}
		return
	}
	const most = 200
	list := a.shelf.After(slotPrefix+m.After, most)
	l := Leaves{Store: a.store, Roster: m.Roster, Number: m.Number, Last: len(list) < most}
	// What is still on its way to the disk belongs in the page as well.
	rows := map[ticket.Key][]byte{}
	for _, r := range list {
		rows[r.Key] = r.Value
	}
	for k, w := range a.ahead {
		if strings.HasPrefix(string(k), slotPrefix) && k > slotPrefix+m.After && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = w.raw
		}
	}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if s, ok := unpack[Slot](rows[k]); ok {
			l.List = append(l.List, Leaf{k[len(slotPrefix):], s.Accepted, s.Value})
		}
	}
	a.Behind(works.Send{To: from, Msg: l})
}

// Merge takes a record that a newcomer copied, if its ballot is higher.
func (a *Acceptor) Merge(l Leaf) {
	s := a.slot(l.Key)
	if !s.Accepted.Less(l.Accepted) {
		return
	}
	s.Accepted, s.Value = l.Accepted, l.Value
	if s.Promised.Less(l.Accepted) {
		s.Promised = l.Accepted
	}
	a.keep(slotPrefix+l.Key, s)
}

// Roster gives the roster in force here.
func (a *Acceptor) Roster() Roster { return a.roster }

// Store gives this acceptor's store id.
func (a *Acceptor) Store() uint64 { return a.store }

// Value gives what this copy holds, chosen or not; for --local reads alone.
func (a *Acceptor) Value(key ticket.Key) (ticket.Ballot, []byte) {
	s := a.slot(key)
	return s.Accepted, s.Value
}

// Plant gives a founding member the value that its founder begins with.
func (a *Acceptor) Plant(key ticket.Key, value []byte) {
	if s := a.slot(key); s.Accepted.Zero() {
		b := ticket.Ballot{Count: 1}
		a.keep(slotPrefix+key, Slot{Promised: maxBallot(b, s.Promised), Accepted: b, Value: value})
	}
}

// Note keeps something beside the registers.
func (a *Acceptor) Note(key ticket.Key, msg any) { a.keep(key, msg) }

// Raise puts a value above all that this copy holds. Only a refounding may,
// where this store alone is a majority.
func (a *Acceptor) Raise(key ticket.Key, value []byte) {
	s := a.slot(key)
	b := ticket.Ballot{Count: max(s.Promised.Count, s.Accepted.Count) + 1, By: a.store << 24}
	a.keep(slotPrefix+key, Slot{Promised: b, Accepted: b, Value: value})
}

func maxBallot(a, b ticket.Ballot) ticket.Ballot {
	if a.Less(b) {
		return b
	}
	return a
}
