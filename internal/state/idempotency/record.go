// Package till keeps unrepeatable requests to one run each. A mark is a
// register: clear, claimed by one run of one proxy, or holding the outcome.
package idempotency

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// The operations on a mark.
const (
	OpClaim consensus.Op = 20 + iota
	OpBar
	OpRelease
	OpOutcome
	OpEnter
)

// Kept is how long a mark's outcome is kept, in running time. A repeat after
// that is a new request; consumers are told so with each answer.
const Kept = 24 * time.Hour

// Key names a mark's register. Marks are kept apart by route.
func Key(route ids.Name, m ids.IdempotencyKey) ids.Key {
	return ids.Key("mark/" + string(route) + "/" + string(m))
}

// State of a mark.
type State uint8

// A mark that is Clear may carry a floor and the claims that were let go.
const (
	Clear State = iota
	Claimed
	Over
)

// Owner is one request in one run of one proxy.
type Owner struct {
	Daemon  ids.Daemon
	Start   ids.RunID
	Request ids.Request
}

// Header is one line of a kept answer.
type Header struct{ Name, Value string }

// Response is a target's sealed answer as it is kept and repeated.
type Response struct {
	Status uint16
	Header []Header
	Body   []byte
	Digest string
	// Cut: the body was too large to keep; that it ran is all that is known.
	Cut bool
}

// Slip is a mark's register.
type Record struct {
	State   State
	Owner   Owner
	Attempt uint32
	// Print sums up method, path and body, so that a mark can't be used for
	// something else.
	Print []byte
	// Floor bars attempts below it: a later attempt was told that nothing ran.
	Floor    uint32
	Let      []Owner
	Response Response
	// Entered counts the attempts of a consumer that doesn't count itself.
	Entered uint32
}

// Operation is the argument of each operation.
type Operation struct {
	Owner    Owner
	Attempt  uint32
	Print    []byte
	Response Response
}

// Verdict says what a request came to.
type Verdict uint8

// Yours: the claim stands for this owner. Running: another's claim stands.
// Ended: there is an outcome. Barred: this attempt may never run. Unlike: the
// mark belongs to another request. Free: nothing ran and nothing below will.
const (
	Yours Verdict = iota + 1
	Running
	Ended
	Barred
	Unlike
	Free
	// Lost: nothing is known of the mark, but marks were lost of late.
	Lost
)

// Result is what an operation tells.
type Result struct {
	Verdict Verdict
	Slip    Record
}

var _ = wire.Register(60, Record{}) && wire.Register(61, Operation{}) && wire.Register(62, Result{})

const mostLet = 16

// Ops are the change functions of marks.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{OpClaim: on(claim), OpBar: on(bar), OpRelease: on(release), OpOutcome: on(outcome), OpEnter: on(enter)}
}

// on opens the register and the request, and packs what comes of them.
func on(f func(Record, Operation) (Record, Verdict)) consensus.ChangeFunc {
	return func(_ ids.Key, old, arg []byte) ([]byte, []byte) {
		s, _ := open[Record](old)
		w, ok := open[Operation](arg)
		if !ok {
			return old, nil
		}
		next, v := f(s, w)
		told := next
		if v == Ended && next.Owner == w.Owner {
			// Its owner has the answer at hand.
			told.Response = Response{}
		}
		out, err := wire.Encode(Result{Verdict: v, Slip: told})
		raw, fault := wire.Encode(next)
		if err != nil || fault != nil {
			return old, nil
		}
		return raw, out
	}
}

func open[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// DecodeRecord reads a mark's register; an empty one is a clear mark.
func DecodeRecord(raw []byte) (Record, bool) {
	if len(raw) == 0 {
		return Record{}, true
	}
	return open[Record](raw)
}

// Later tells whether a request may be a later attempt's.
func Later(arg []byte) bool {
	w, ok := open[Operation](arg)
	return ok && w.Attempt != 1
}

// OpenResult reads what an operation told.
func OpenResult(raw []byte) (Result, bool) { return open[Result](raw) }

// seen answers for a mark that is not clear.
func seen(s Record, w Operation) (Verdict, bool) {
	switch {
	case s.State != Clear && !slices.Equal(s.Print, w.Print):
		return Unlike, true
	case s.State == Over:
		return Ended, true
	case s.State == Claimed && s.Owner == w.Owner:
		return Yours, true
	case s.State == Claimed:
		return Running, true
	}
	return 0, false
}

func claim(s Record, w Operation) (Record, Verdict) {
	if v, ok := seen(s, w); ok {
		return s, v
	}
	// A claim that was let go must not rise again from a late message.
	if w.Attempt < s.Floor || slices.Contains(s.Let, w.Owner) {
		return s, Barred
	}
	s.State, s.Owner, s.Attempt, s.Print = Claimed, w.Owner, w.Attempt, w.Print
	return s, Yours
}

// bar is what a later attempt asks before it is told "surely not run": from
// then on no earlier attempt, still waiting elsewhere, may run either.
func bar(s Record, w Operation) (Record, Verdict) {
	// The client's own claim never left: it goes with the rest.
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Owner, s.Print = Clear, Owner{}, nil
	}
	if v, ok := seen(s, w); ok {
		return s, v
	}
	s.Floor = max(s.Floor, w.Attempt)
	s.let(w.Owner)
	return s, Free
}

// release lets go of a claim whose request surely did not leave.
func release(s Record, w Operation) (Record, Verdict) {
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Owner, s.Print = Clear, Owner{}, nil
	}
	if s.State == Clear {
		s.let(w.Owner)
	}
	return s, Free
}

// enter numbers an attempt whose consumer gave no number, in the order in
// which they are agreed on; a number that is skipped does no harm.
func enter(s Record, w Operation) (Record, Verdict) {
	if v, ok := seen(s, w); ok {
		return s, v
	}
	s.Entered = max(s.Entered, s.Floor) + 1
	return s, Free
}

func outcome(s Record, w Operation) (Record, Verdict) {
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Response = Over, w.Response
	}
	return s, Ended
}

func (s *Record) let(o Owner) {
	if !slices.Contains(s.Let, o) {
		s.Let = append(s.Let[:len(s.Let):len(s.Let)], o)
	}
	if len(s.Let) > mostLet {
		s.Let = s.Let[1:]
	}
}
