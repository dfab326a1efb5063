package idempotency

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Retention is how long a record is kept, in the running time of the stores. A
// request that is repeated later is a new one; each response tells clients so.
const Retention = 24 * time.Hour

// RegisterKey names the register of an idempotency key. Keys are separate for each
// route.
func RegisterKey(route ids.Name, key ids.IdempotencyKey) ids.RegisterKey {
	return ids.RegisterKey("mark/" + string(route) + "/" + string(key))
}

// State is the state of a record.
type State uint8

// The states of a record, in their order.
const (
	// Unclaimed: no request holds the key. Earlier claims may have been released.
	Unclaimed State = iota
	// Claimed: one owner may have run the request.
	Claimed
	// Completed: the request ran, and the response is known.
	Completed
)

// Owner is one request in one run of one proxy.
type Owner struct {
	Daemon  ids.DaemonID
	RunID   ids.RunID
	Request ids.RequestID
}

// Header is one header field of a kept response.
type Header struct{ Name, Value string }

// Response is a target's response as it is kept and given to repeated requests.
type Response struct {
	Status uint16
	Header []Header
	Body   []byte
	Digest string
	// BodyOmitted: the body was too large to keep or is lost. All that is known is
	// that the request ran.
	BodyOmitted bool
}

// Record is the value of an idempotency key's register.
type Record struct {
	State   State
	Owner   Owner
	Attempt uint32
	// Fingerprint is a hash of method, URI and body, so that a key can't be used for
	// another request.
	Fingerprint []byte
	// MinAttempt is the lowest attempt that may still claim the key.
	MinAttempt uint32
	// ReleasedOwners are the last owners that released a claim, or were refused one for
	// good; see maxReleasedOwners.
	ReleasedOwners []Owner
	Response       Response
	// NumberedAttempts is the highest number given to an attempt whose client doesn't
	// number its attempts.
	NumberedAttempts uint32
}

// maxReleasedOwners bounds Record.ReleasedOwners, so that a record stays small; the oldest
// is dropped.
const maxReleasedOwners = 16

var _ = wire.Register(60, Record{}) && wire.Register(61, Operation{}) && wire.Register(62, Result{})

// DecodeRecord reads the value of a register, and reports whether it can be read. An
// empty value is an unclaimed record.
func DecodeRecord(raw []byte) (Record, bool) {
	if len(raw) == 0 {
		return Record{}, true
	}
	return decode[Record](raw)
}

// decode reads a message of one type.
func decode[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// isClaimedBy reports whether an owner holds the claim.
func (r *Record) isClaimedBy(owner Owner) bool { return r.State == Claimed && r.Owner == owner }

// dropClaim makes a claimed record unclaimed.
func (r *Record) dropClaim() {
	r.State, r.Owner, r.Fingerprint = Unclaimed, Owner{}, nil
}

// addReleasedOwner notes that an owner may not claim any more.
func (r *Record) addReleasedOwner(owner Owner) {
	if !slices.Contains(r.ReleasedOwners, owner) {
		// Clipped, since the list is shared with the record before the operation.
		r.ReleasedOwners = append(slices.Clip(r.ReleasedOwners), owner)
	}
	if len(r.ReleasedOwners) > maxReleasedOwners {
		r.ReleasedOwners = r.ReleasedOwners[1:]
	}
}
