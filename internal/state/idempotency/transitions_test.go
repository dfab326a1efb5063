package idempotency

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// testRegister applies operations to the value of a register.
type testRegister struct {
	t     *testing.T
	value []byte
}

// apply applies an operation of a request. All requests are of the same run of one proxy.
func (r *testRegister) apply(op consensus.Op, request ids.RequestID, attempt uint32, fingerprint string) Result {
	r.t.Helper()
	arg, err := wire.Encode(Operation{Owner: Owner{"c", 1, request}, Attempt: attempt, Fingerprint: []byte(fingerprint), Response: Response{Status: 200, Body: []byte("done")}})
	if err != nil {
		r.t.Fatal(err)
	}
	newValue, response := Ops()[op]("k", r.value, arg)
	res, ok := DecodeResult(response)
	if !ok {
		r.t.Fatal("operation returned no valid result")
	}
	r.value = newValue
	return res
}

func TestClaim_HasSingleOwner(t *testing.T) {
	is := is.New(t)
	r := &testRegister{t: t}
	is.Equal(r.apply(OpClaim, 1, 1, "p").Verdict, Granted)
	is.Equal(r.apply(OpClaim, 1, 1, "p").Verdict, Granted) // the operation is applied twice
	is.Equal(r.apply(OpClaim, 2, 2, "p").Verdict, InProgress)
	is.Equal(r.apply(OpClaim, 2, 2, "q").Verdict, FingerprintMismatch)
	is.Equal(r.apply(OpBlock, 2, 2, "p").Verdict, InProgress) // the first attempt may have run
	is.Equal(r.apply(OpRelease, 2, 2, "p").Verdict, Released)
	is.Equal(r.apply(OpClaim, 2, 2, "p").Verdict, InProgress) // only the owner releases its claim
	is.Equal(r.apply(OpComplete, 2, 2, "p").Verdict, AlreadyCompleted)
	is.Equal(r.apply(OpClaim, 3, 3, "p").Verdict, InProgress) // and only the owner completes it
	r.apply(OpComplete, 1, 1, "p")
	res := r.apply(OpClaim, 2, 2, "p")
	is.Equal(res.Verdict, AlreadyCompleted)
	is.Equal(string(res.Record.Response.Body), "done")
	is.Equal(r.apply(OpRelease, 1, 1, "p").Record.State, Completed) // a completed record doesn't change
}

func TestClaim_ReleasedOrBlockedAttemptNeverRuns(t *testing.T) {
	is := is.New(t)
	r := &testRegister{t: t}
	r.apply(OpClaim, 1, 1, "p")
	r.apply(OpRelease, 1, 1, "p")
	is.Equal(r.apply(OpClaim, 1, 1, "p").Verdict, AttemptBlocked) // a delayed message
	// The third attempt is told that nothing ran, so no attempt up to it may run.
	is.Equal(r.apply(OpBlock, 3, 3, "p").Verdict, Released)
	is.Equal(r.apply(OpClaim, 2, 2, "p").Verdict, AttemptBlocked)
	is.Equal(r.apply(OpClaim, 3, 3, "p").Verdict, AttemptBlocked)
	is.Equal(r.apply(OpClaim, 4, 4, "p").Verdict, Granted)
	// The caller's own claim doesn't prevent it from blocking.
	is.Equal(r.apply(OpBlock, 4, 4, "p").Verdict, Released)
	is.Equal(r.apply(OpClaim, 5, 5, "q").Verdict, Granted) // the fingerprint is dropped with the claim
}

func TestNumberAttempt_AssignsIncreasingNumbers(t *testing.T) {
	is := is.New(t)
	r := &testRegister{t: t}
	is.Equal(r.apply(OpNumberAttempt, 1, 0, "p").Record.LastAssignedAttempt, uint32(1))
	is.Equal(r.apply(OpNumberAttempt, 2, 0, "p").Record.LastAssignedAttempt, uint32(2))
	is.Equal(r.apply(OpBlock, 2, 2, "p").Verdict, Released)
	is.Equal(r.apply(OpClaim, 1, 1, "p").Verdict, AttemptBlocked)
	is.Equal(r.apply(OpNumberAttempt, 3, 0, "p").Record.LastAssignedAttempt, uint32(3))
	is.Equal(r.apply(OpClaim, 3, 3, "p").Verdict, Granted)
	is.Equal(r.apply(OpNumberAttempt, 4, 0, "p").Verdict, InProgress)
}
