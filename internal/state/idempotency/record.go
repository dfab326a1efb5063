package idempotency

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Retention is how long a record is kept, measured in uptime of the store. A later retry
// counts as a new request; every response tells clients the retention.
const Retention = 24 * time.Hour

// RegisterKey returns the key of the register for an idempotency key. Each route has its own
// key space.
func RegisterKey(route ids.Name, key ids.IdempotencyKey) ids.RegisterKey {
	return ids.RegisterKey("mark/" + string(route) + "/" + string(key))
}

// State is the state of a record.
type State uint8

// The states of a record, in the order of its life cycle.
const (
	// Unclaimed: no request holds the key. Earlier claims may have been released.
	Unclaimed State = iota
	// Claimed: one owner holds the key and may have sent the request.
	Claimed
	// Completed: the request ran, and the response is known.
	Completed
)

// Owner identifies one request of one run of a proxy.
type Owner struct {
	Daemon  ids.DaemonID
	RunID   ids.RunID
	Request ids.RequestID
}

// Header is one header field of a stored response.
type Header struct{ Name, Value string }

// Response is a target's response as it is stored and replayed to retries.
type Response struct {
	Status uint16
	Header []Header
	Body   []byte
	Digest string
	// BodyOmitted is set if the body was too large to store or was lost. The response then
	// only shows that the request ran.
	BodyOmitted bool
}

// Record is the value of an idempotency key's register.
type Record struct {
	State   State
	Owner   Owner
	Attempt uint32
	// Fingerprint is a hash of method, URI and body. It detects the use of a key for a
	// different request.
	Fingerprint []byte
	// MinAttempt is the lowest attempt that may still claim the key.
	MinAttempt uint32
	// ReleasedOwners has the last owners that released or blocked the key, up to
	// maxReleasedOwners. They can't claim it again.
	ReleasedOwners []Owner
	Response       Response
	// LastAssignedAttempt is the highest number that OpNumberAttempt has assigned.
	LastAssignedAttempt uint32
}

// maxReleasedOwners bounds Record.ReleasedOwners, to keep records small; the oldest is dropped.
const maxReleasedOwners = 16

var _ = wire.Register(60, Record{}) && wire.Register(61, Operation{}) && wire.Register(62, Result{})

// DecodeRecord decodes the value of a register, and reports whether it is valid. An empty value
// is an unclaimed record.
func DecodeRecord(raw []byte) (Record, bool) {
	if len(raw) == 0 {
		return Record{}, true
	}
	return decode[Record](raw)
}

// decode decodes a message, and reports whether it is valid and of type T.
func decode[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// isClaimedBy reports whether an owner holds the claim.
func (r *Record) isClaimedBy(owner Owner) bool { return r.State == Claimed && r.Owner == owner }

// dropClaim resets the record to Unclaimed.
func (r *Record) dropClaim() {
	r.State, r.Owner, r.Fingerprint = Unclaimed, Owner{}, nil
}

// addReleasedOwner records that an owner must not claim the key again.
func (r *Record) addReleasedOwner(owner Owner) {
	if !slices.Contains(r.ReleasedOwners, owner) {
		// Clip forces a copy: the slice is shared with the record before the operation.
		r.ReleasedOwners = append(slices.Clip(r.ReleasedOwners), owner)
	}
	if len(r.ReleasedOwners) > maxReleasedOwners {
		r.ReleasedOwners = r.ReleasedOwners[1:]
	}
}
