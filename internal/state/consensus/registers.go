package consensus

import (
	"encoding/binary"
	"fmt"
	"strings"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Registers other than idempotency keys are few, and the configuration's is large. Each
// is kept on disk as a base, which is a whole RegisterState, and changes behind
// it, numbered from 0 on. What holds is the base with all changes applied, and it
// is also at hand in memory. Both forms end with a checksum; a base written by an
// earlier version has none.

const (
	changePrefix = "diff/"
	// minDeltaValueSize is the least value that is worth a difference.
	minDeltaValueSize = 4 << 10
	// maxChangesPerBase bounds what a restart has to apply. The changes are folded
	// into a new base there, or where they are as long as the value itself, so that
	// folding costs no more a change than the change did.
	maxChangesPerBase = 4096
	checksumSize      = 4
)

// registerChange is one change behind a base. Its Difference leads from the value
// before it to the one accepted; empty means that the value stays as it is.
type registerChange struct {
	Promised ids.Ballot
	Accepted ids.Ballot
	Delta    []byte
}

var _ = wire.Register(47, registerChange{})

// register is one register as it stands with all that was asked of the disk.
type register struct {
	RegisterState
	// onDisk: there is a base; changes and size tell what is behind it.
	hasBase     bool
	changeCount int
	changeBytes int
}

func changeKey(key ids.RegisterKey, number int) ids.RegisterKey {
	return ids.RegisterKey(fmt.Sprintf("%s%s/%08x", changePrefix, key, number))
}

// encodeWithChecksum encodes a record with its checksum behind it.
func encodeWithChecksum(msg any) ([]byte, error) {
	raw, err := wire.Encode(msg)
	return binary.BigEndian.AppendUint32(raw, delta.Checksum(raw)), err
}

// decodeWithChecksum reads a record. Only a base may be without a checksum.
func decodeWithChecksum[T any](raw []byte, checksumOptional bool) (T, error) {
	var none T
	size, err := wire.FrameSize(raw)
	if err != nil {
		return none, err
	}
	switch {
	case len(raw) == size+checksumSize:
		if binary.BigEndian.Uint32(raw[size:]) != delta.Checksum(raw[:size]) {
			return none, errs.New("read record", "", "it fails its checksum")
		}
	case len(raw) != size || !checksumOptional:
		return none, errs.New("read record", "", "it is cut short")
	}
	msg, ok := decodeMessage[T](raw)
	if !ok {
		return none, errs.New("read record", "", "it is of another format")
	}
	return msg, nil
}

// loadRegister reads a register from the disk.
func loadRegister(disk Storage, key ids.RegisterKey) (register, error) {
	var r register
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

// loadChanges applies all changes behind the base, none of which may be missing.
func (r *register) loadChanges(disk Storage, key ids.RegisterKey) error {
	prefix := changePrefix + string(key) + "/"
	after := ids.RegisterKey(prefix)
	for {
		const page = 256
		list := disk.Scan(after, page)
		for _, record := range list {
			if !strings.HasPrefix(string(record.Key), prefix) {
				return nil
			}
			if record.Key != changeKey(key, r.changeCount) {
				return errs.New("read change", string(record.Key), "one before it is missing")
			}
			if err := r.apply(record.Value); err != nil {
				return errs.Wrap(err, "read change", string(record.Key))
			}
			after = record.Key
		}
		if len(list) < page {
			return nil
		}
	}
}

func (r *register) apply(raw []byte) error {
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

// recordsFor gives what brings the disk from this register to another state: one
// change, or a new base in place of the old one and of all changes behind it.
func (r *register) recordsFor(key ids.RegisterKey, next RegisterState) ([]event.Record, error) {
	if change, ok := r.changeTo(next); ok {
		raw, err := encodeWithChecksum(change)
		if r.changeBytes+len(raw) <= len(next.Value) || r.changeCount == 0 {
			number := r.changeCount
			r.RegisterState, r.changeCount, r.changeBytes = next, r.changeCount+1, r.changeBytes+len(raw)
			return []event.Record{{Key: changeKey(key, number), Value: raw}}, err
		}
	}
	raw, err := encodeWithChecksum(next)
	list := []event.Record{{Key: registerPrefix + key, Value: raw}}
	for number := range r.changeCount {
		list = append(list, event.Record{Key: changeKey(key, number), Delete: true})
	}
	*r = register{RegisterState: next, hasBase: true}
	return list, err
}

// changeTo gives the change that leads to another state, if it is worth one.
func (r *register) changeTo(next RegisterState) (registerChange, bool) {
	c := registerChange{Promised: next.Promised, Accepted: next.Accepted}
	if !r.hasBase || len(next.Value) < minDeltaValueSize || len(r.Value) < minDeltaValueSize || r.changeCount >= maxChangesPerBase {
		return c, false
	}
	if next.Accepted != r.Accepted {
		c.Delta = delta.Diff(r.Value, next.Value)
	}
	return c, len(c.Delta) <= len(next.Value)/2
}
