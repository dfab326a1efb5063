package idempotency

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// mark is a register that operations are played on.
type mark struct {
	t   *testing.T
	raw []byte
}

func (m *mark) do(op consensus.Op, who ids.Request, attempt uint32, print string) Result {
	m.t.Helper()
	arg, err := wire.Encode(Operation{Owner: Owner{"c", 1, who}, Attempt: attempt, Print: []byte(print), Response: Response{Status: 200, Body: []byte("done")}})
	if err != nil {
		m.t.Fatal(err)
	}
	next, out := Ops()[op]("k", m.raw, arg)
	r, ok := OpenResult(out)
	if !ok {
		m.t.Fatal("no result")
	}
	m.raw = next
	return r
}

func TestOneClaimStands(t *testing.T) {
	is := is.New(t)
	m := &mark{t: t}
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Yours)
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Yours) // a round that was run again
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, Running)
	is.Equal(m.do(OpClaim, 2, 2, "q").Verdict, Unlike)
	is.Equal(m.do(OpBar, 2, 2, "p").Verdict, Running) // too late to say that nothing ran
	is.Equal(m.do(OpRelease, 2, 2, "p").Verdict, Free)
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, Running) // another's claim isn't let go
	is.Equal(m.do(OpOutcome, 2, 2, "p").Verdict, Ended)
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, Running) // nor is its outcome another's
	m.do(OpOutcome, 1, 1, "p")
	r := m.do(OpClaim, 2, 2, "p")
	is.Equal(r.Verdict, Ended)
	is.Equal(string(r.Slip.Response.Body), "done")
	is.Equal(m.do(OpRelease, 1, 1, "p").Slip.State, Over) // what ran stays
}

func TestWhatWasLetGoStaysGone(t *testing.T) {
	is := is.New(t)
	m := &mark{t: t}
	m.do(OpClaim, 1, 1, "p")
	m.do(OpRelease, 1, 1, "p")
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Barred) // a late message
	// The third attempt is told that nothing ran: nothing below may, ever.
	is.Equal(m.do(OpBar, 3, 3, "p").Verdict, Free)
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, Barred)
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, Barred)
	is.Equal(m.do(OpClaim, 4, 4, "p").Verdict, Yours)
	// Its own claim, which never left, doesn't keep an attempt from barring.
	is.Equal(m.do(OpBar, 4, 4, "p").Verdict, Free)
	is.Equal(m.do(OpClaim, 5, 5, "q").Verdict, Yours) // the print went with the claim
}

func TestUncountedAttemptsAreNumbered(t *testing.T) {
	is := is.New(t)
	m := &mark{t: t}
	is.Equal(m.do(OpEnter, 1, 0, "p").Slip.Entered, uint32(1))
	is.Equal(m.do(OpEnter, 2, 0, "p").Slip.Entered, uint32(2))
	is.Equal(m.do(OpBar, 2, 2, "p").Verdict, Free)
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Barred)
	is.Equal(m.do(OpEnter, 3, 0, "p").Slip.Entered, uint32(3))
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, Yours)
	is.Equal(m.do(OpEnter, 4, 0, "p").Verdict, Running)
}
