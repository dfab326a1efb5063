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

// On-disk format of registers other than idempotency keys. They are few, and the one of the
// configuration is large, so each is stored as a base, which is a full RegisterState, and
// changes to it, numbered from 0. The register's state, the base with all changes applied, is
// cached in memory. Bases and changes end with a checksum, which bases written by earlier
// versions lack.

var (
	// ErrChecksumMismatch means that a record on disk doesn't match its checksum.
	ErrChecksumMismatch = errors.New("checksum mismatch")
	// ErrLengthMismatch means that a record on disk is longer or shorter than its header says.
	ErrLengthMismatch = errors.New("record length mismatch")
	// ErrUnknownFormat means that an intact record on disk isn't of the expected type.
	ErrUnknownFormat = errors.New("unknown record format")
	// ErrMissingChange means that an earlier change is missing on disk.
	ErrMissingChange = errors.New("earlier change is missing")
)

const (
	changePrefix = "diff/"
	// minDeltaValueSize is the minimum size in bytes of a value that is encoded as a delta.
	minDeltaValueSize = 4 << 10
	// maxChangesPerBase bounds the changes that are applied on a restart. At that many
	// changes, or when they would take more bytes than the value itself, they are
	// compacted into a new base.
	maxChangesPerBase = 4096
	checksumSize      = 4
	// changesPerScan is how many changes are read from disk at once.
	changesPerScan = 256
)

// registerChange is a change on disk. Delta transforms the previous value into the accepted
// one; if it is empty, only the ballots change.
type registerChange struct {
	Promised ids.Ballot
	Accepted ids.Ballot
	Delta    []byte
}

var _ = wire.Register(47, registerChange{})

// storedRegister is the cached state of a register, including writes that aren't on disk yet.
type storedRegister struct {
	RegisterState
	// hasBase is set if the disk has a base. It is followed by changeCount changes of
	// changeBytes bytes in total.
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
	var zero T
	size, err := wire.FrameSize(raw)
	if err != nil {
		return zero, err
	}
	switch {
	case len(raw) == size+checksumSize:
		if binary.BigEndian.Uint32(raw[size:]) != delta.Checksum(raw[:size]) {
			return zero, errs.Wrap(ErrChecksumMismatch, "read record", "")
		}
	case len(raw) != size || !checksumOptional:
		return zero, errs.Wrap(ErrLengthMismatch, "read record", "")
	}
	msg, ok := decodeMessage[T](raw)
	if !ok {
		return zero, errs.Wrap(ErrUnknownFormat, "read record", "")
	}
	return msg, nil
}

// loadRegister reads a register from disk. It returns a zero register if there is none.
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

// loadChanges applies all changes on disk to the base. A gap in their numbers is an error.
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

// advanceTo sets the register to its next state and returns the records that persist it:
// either one change, or a new base and the deletion of all changes to the old one.
func (r *storedRegister) advanceTo(key ids.RegisterKey, next RegisterState) ([]event.Record, error) {
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

// changeTo returns the change to the next state, and whether to consider writing it instead of
// a new base.
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
