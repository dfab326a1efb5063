package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// How a register stands on disk. Registers other than idempotency keys are few, and that of
// the configuration is large. On disk each is a base, which is a whole RegisterState, and
// changes to it, numbered from 0 on. The register's state is the base with all changes
// applied, and is cached in memory. Both records end with a checksum; bases of earlier
// versions have none.

var (
	// ErrChecksumMismatch means that a record on disk was altered.
	ErrChecksumMismatch = errors.New("it fails its checksum")
	// ErrTruncated means that a record on disk has more or fewer bytes than it says.
	ErrTruncated = errors.New("it is cut short")
	// ErrUnknownFormat means that a record on disk is whole, but not of the expected type.
	ErrUnknownFormat = errors.New("it is of another format")
	// ErrMissingChange means that a change on disk follows one that is not there.
	ErrMissingChange = errors.New("one before it is missing")
)

const (
	changePrefix = "diff/"
	// minDeltaValueSize is the least size in bytes of a value that is worth a delta.
	minDeltaValueSize = 4 << 10
	// maxChangesPerBase bounds what a restart has to apply. At that many changes, or
	// where they are as long as the value itself, they are folded into a new base; so
	// folding costs each change no more than the change itself did.
	maxChangesPerBase = 4096
	checksumSize      = 4
	// changesPerScan is how many changes are read from disk at once.
	changesPerScan = 256
)

// registerChange is one change on disk. Its Delta leads from the value before it to the
// accepted one; an empty Delta means that only the ballots change.
type registerChange struct {
	Promised ids.Ballot
	Accepted ids.Ballot
	Delta    []byte
}

var _ = wire.Register(47, registerChange{})

// storedRegister is the cached state of a register, including what is on its way to the disk.
type storedRegister struct {
	RegisterState
	// hasBase says that the disk has a base, on which changeCount changes of
	// changeBytes bytes in all follow.
	hasBase     bool
	changeCount int
	changeBytes int
}

func changeKey(key ids.RegisterKey, number int) ids.RegisterKey {
	return ids.RegisterKey(fmt.Sprintf("%s%s/%08x", changePrefix, key, number))
}

// encodeWithChecksum encodes a record and appends its checksum.
func encodeWithChecksum(msg any) ([]byte, error) {
	raw, err := wire.Encode(msg)
	return binary.BigEndian.AppendUint32(raw, delta.Checksum(raw)), err
}

// decodeWithChecksum decodes a record. A missing checksum is an error unless optional,
// as it is for bases of earlier versions.
func decodeWithChecksum[T any](raw []byte, checksumOptional bool) (T, error) {
	var none T
	size, err := wire.FrameSize(raw)
	if err != nil {
		return none, err
	}
	switch {
	case len(raw) == size+checksumSize:
		if binary.BigEndian.Uint32(raw[size:]) != delta.Checksum(raw[:size]) {
			return none, errs.Wrap(ErrChecksumMismatch, "read record", "")
		}
	case len(raw) != size || !checksumOptional:
		return none, errs.Wrap(ErrTruncated, "read record", "")
	}
	msg, ok := decodeMessage[T](raw)
	if !ok {
		return none, errs.Wrap(ErrUnknownFormat, "read record", "")
	}
	return msg, nil
}

// loadRegister reads a register from disk. One that was never written is zero.
func loadRegister(disk Storage, key ids.RegisterKey) (storedRegister, error) {
	var r storedRegister
	raw, ok := disk.Get(registerPrefix + key)
	if !ok {
		return r, nil
	}
	state, err := decodeWithChecksum[RegisterState](raw, true)
	if err != nil {
		return r, errs.Wrap(err, "read register", string(key))
	}
	r.RegisterState, r.hasBase = state, true
	err = r.loadChanges(disk, key)
	return r, errs.Wrap(err, "read register", string(key))
}

// loadChanges applies all changes to the base, none of which may be missing.
func (r *storedRegister) loadChanges(disk Storage, key ids.RegisterKey) error {
	prefix := changePrefix + string(key) + "/"
	after := ids.RegisterKey(prefix)
	for {
		records := disk.Scan(after, changesPerScan)
		for _, record := range records {
			if !strings.HasPrefix(string(record.Key), prefix) {
				return nil
			}
			if record.Key != changeKey(key, r.changeCount) {
				return errs.Wrap(ErrMissingChange, "read change", string(record.Key))
			}
			if err := r.apply(record.Value); err != nil {
				return errs.Wrap(err, "read change", string(record.Key))
			}
			after = record.Key
		}
		if len(records) < changesPerScan {
			return nil
		}
	}
}

// apply applies the next change on disk to the register.
func (r *storedRegister) apply(raw []byte) error {
	change, err := decodeWithChecksum[registerChange](raw, false)
	if err != nil {
		return err
	}
	if len(change.Delta) > 0 {
		if r.Value, err = delta.Apply(r.Value, change.Delta); err != nil {
			return err
		}
	}
	r.Promised, r.Accepted = change.Promised, change.Accepted
	r.changeCount++
	r.changeBytes += len(raw)
	return nil
}

// recordsFor moves the register to its next state and returns the records that do the
// same on disk: one change, or a new base and the deletion of all changes before it.
func (r *storedRegister) recordsFor(key ids.RegisterKey, next RegisterState) ([]event.Record, error) {
	if change, ok := r.changeTo(next); ok {
		raw, err := encodeWithChecksum(change)
		if r.changeBytes+len(raw) <= len(next.Value) || r.changeCount == 0 {
			number := r.changeCount
			r.RegisterState = next
			r.changeCount++
			r.changeBytes += len(raw)
			return []event.Record{{Key: changeKey(key, number), Value: raw}}, err
		}
	}
	raw, err := encodeWithChecksum(next)
	records := []event.Record{{Key: registerPrefix + key, Value: raw}}
	for number := range r.changeCount {
		records = append(records, event.Record{Key: changeKey(key, number), Delete: true})
	}
	*r = storedRegister{RegisterState: next, hasBase: true}
	return records, err
}

// changeTo returns the change that leads to the next state, and whether it is worth
// writing in place of a new base.
func (r *storedRegister) changeTo(next RegisterState) (registerChange, bool) {
	change := registerChange{Promised: next.Promised, Accepted: next.Accepted}
	small := len(next.Value) < minDeltaValueSize || len(r.Value) < minDeltaValueSize
	if !r.hasBase || small || r.changeCount >= maxChangesPerBase {
		return change, false
	}
	if next.Accepted != r.Accepted {
		change.Delta = delta.Diff(r.Value, next.Value)
	}
	return change, len(change.Delta) <= len(next.Value)/2
}
