package idempotency

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// testRegister is a register that operations are played on.
type testRegister struct {
	t   *testing.T
	raw []byte
}

func (m *testRegister) do(op consensus.Op, who ids.RequestID, attempt uint32, print string) Result {
	m.t.Helper()
	arg, err := wire.Encode(Operation{Owner: Owner{"c", 1, who}, Attempt: attempt, Fingerprint: []byte(print), Response: Response{Status: 200, Body: []byte("done")}})
	if err != nil {
		m.t.Fatal(err)
	}
	next, out := Ops()[op]("k", m.raw, arg)
	r, ok := DecodeResult(out)
	if !ok {
		m.t.Fatal("no result")
	}
	m.raw = next
	return r
}

func TestClaim_OnlyOneOwnerAtATime(t *testing.T) {
	is := is.New(t)
	m := &testRegister{t: t}
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Granted)
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, Granted) // a round that was run again
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, InProgress)
	is.Equal(m.do(OpClaim, 2, 2, "q").Verdict, FingerprintMismatch)
	is.Equal(m.do(OpBlock, 2, 2, "p").Verdict, InProgress) // too late to say that nothing ran
	is.Equal(m.do(OpRelease, 2, 2, "p").Verdict, Released)
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, InProgress) // another's claim isn't let go
	is.Equal(m.do(OpComplete, 2, 2, "p").Verdict, AlreadyCompleted)
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, InProgress) // nor is its outcome another's
	m.do(OpComplete, 1, 1, "p")
	r := m.do(OpClaim, 2, 2, "p")
	is.Equal(r.Verdict, AlreadyCompleted)
	is.Equal(string(r.Record.Response.Body), "done")
	is.Equal(m.do(OpRelease, 1, 1, "p").Record.State, Completed) // what ran stays
}

func TestClaim_ReleasedOrBlockedAttemptNeverRuns(t *testing.T) {
	is := is.New(t)
	m := &testRegister{t: t}
	m.do(OpClaim, 1, 1, "p")
	m.do(OpRelease, 1, 1, "p")
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, AttemptBlocked) // a late message
	// The third attempt is told that nothing ran: nothing below may, ever.
	is.Equal(m.do(OpBlock, 3, 3, "p").Verdict, Released)
	is.Equal(m.do(OpClaim, 2, 2, "p").Verdict, AttemptBlocked)
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, AttemptBlocked)
	is.Equal(m.do(OpClaim, 4, 4, "p").Verdict, Granted)
	// Its own claim, which never left, doesn't keep an attempt from barring.
	is.Equal(m.do(OpBlock, 4, 4, "p").Verdict, Released)
	is.Equal(m.do(OpClaim, 5, 5, "q").Verdict, Granted) // the print went with the claim
}

func TestNumberAttempt_CountsAttemptsWithoutNumber(t *testing.T) {
	is := is.New(t)
	m := &testRegister{t: t}
	is.Equal(m.do(OpNumberAttempt, 1, 0, "p").Record.NumberedAttempts, uint32(1))
	is.Equal(m.do(OpNumberAttempt, 2, 0, "p").Record.NumberedAttempts, uint32(2))
	is.Equal(m.do(OpBlock, 2, 2, "p").Verdict, Released)
	is.Equal(m.do(OpClaim, 1, 1, "p").Verdict, AttemptBlocked)
	is.Equal(m.do(OpNumberAttempt, 3, 0, "p").Record.NumberedAttempts, uint32(3))
	is.Equal(m.do(OpClaim, 3, 3, "p").Verdict, Granted)
	is.Equal(m.do(OpNumberAttempt, 4, 0, "p").Verdict, InProgress)
}
