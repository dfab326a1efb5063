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

// Registers other than idempotency keys are few, and the policy's is large. Each
// is kept on disk as a base, which is a whole RegisterState, and changes behind
// it, numbered from 0 on. What holds is the base with all changes applied, and it
// is also at hand in memory. Both forms end with a checksum; a base written by an
// earlier version has none.

const (
	changePrefix = "diff/"
	// differencesFrom is the least value that is worth a difference.
	differencesFrom = 4 << 10
	// mostChangesBehind bounds what a restart has to apply. The changes are folded
	// into a new base there, or where they are as long as the value itself, so that
	// folding costs no more a change than the change did.
	mostChangesBehind = 4096
	checksumSize      = 4
)

// registerChange is one change behind a base. Its Difference leads from the value
// before it to the one accepted; empty means that the value stays as it is.
type registerChange struct {
	Promised   ids.Ballot
	Accepted   ids.Ballot
	Difference []byte
}

var _ = wire.Register(47, registerChange{})

// register is one register as it stands with all that was asked of the disk.
type register struct {
	RegisterState
	// onDisk: there is a base; changes and size tell what is behind it.
	onDisk  bool
	changes int
	size    int
}

func changeKey(key ids.Key, number int) ids.Key {
	return ids.Key(fmt.Sprintf("%s%s/%08x", changePrefix, key, number))
}

// seal encodes a record with its checksum behind it.
func seal(msg any) ([]byte, error) {
	raw, err := wire.Encode(msg)
	return binary.BigEndian.AppendUint32(raw, delta.Sum(raw)), err
}

// unseal reads a record. Only a base may be without a checksum.
func unseal[T any](raw []byte, mayLack bool) (T, error) {
	var none T
	size, err := wire.FrameSize(raw)
	if err != nil {
		return none, err
	}
	switch {
	case len(raw) == size+checksumSize:
		if binary.BigEndian.Uint32(raw[size:]) != delta.Sum(raw[:size]) {
			return none, errs.New("read record", "", "it fails its checksum")
		}
	case len(raw) != size || !mayLack:
		return none, errs.New("read record", "", "it is cut short")
	}
	msg, ok := unpack[T](raw)
	if !ok {
		return none, errs.New("read record", "", "it is of another format")
	}
	return msg, nil
}

// loadRegister reads a register from the disk.
func loadRegister(disk Storage, key ids.Key) (register, error) {
	var r register
	raw, ok := disk.Get(slotPrefix + key)
	if !ok {
		return r, nil
	}
	state, err := unseal[RegisterState](raw, true)
	if err != nil {
		return r, errs.Wrap(err, "read register", string(key))
	}
	r.RegisterState, r.onDisk = state, true
	err = r.loadChanges(disk, key)
	return r, errs.Wrap(err, "read register", string(key))
}

// loadChanges applies all changes behind the base, none of which may be missing.
func (r *register) loadChanges(disk Storage, key ids.Key) error {
	prefix := changePrefix + string(key) + "/"
	after := ids.Key(prefix)
	for {
		const page = 256
		list := disk.Scan(after, page)
		for _, record := range list {
			if !strings.HasPrefix(string(record.Key), prefix) {
				return nil
			}
			if record.Key != changeKey(key, r.changes) {
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
	change, err := unseal[registerChange](raw, false)
	if err != nil {
		return err
	}
	if len(change.Difference) > 0 {
		if r.Value, err = delta.Apply(r.Value, change.Difference); err != nil {
			return err
		}
	}
	r.Promised, r.Accepted = change.Promised, change.Accepted
	r.changes++
	r.size += len(raw)
	return nil
}

// records gives what brings the disk from this register to another state: one
// change, or a new base in place of the old one and of all changes behind it.
func (r *register) records(key ids.Key, next RegisterState) ([]event.Record, error) {
	if change, ok := r.change(next); ok {
		raw, err := seal(change)
		if r.size+len(raw) <= len(next.Value) || r.changes == 0 {
			number := r.changes
			r.RegisterState, r.changes, r.size = next, r.changes+1, r.size+len(raw)
			return []event.Record{{Key: changeKey(key, number), Value: raw}}, err
		}
	}
	raw, err := seal(next)
	list := []event.Record{{Key: slotPrefix + key, Value: raw}}
	for number := range r.changes {
		list = append(list, event.Record{Key: changeKey(key, number), Delete: true})
	}
	*r = register{RegisterState: next, onDisk: true}
	return list, err
}

// change gives the change that leads to another state, if it is worth one.
func (r *register) change(next RegisterState) (registerChange, bool) {
	c := registerChange{Promised: next.Promised, Accepted: next.Accepted}
	if !r.onDisk || len(next.Value) < differencesFrom || len(r.Value) < differencesFrom || r.changes >= mostChangesBehind {
		return c, false
	}
	if next.Accepted != r.Accepted {
		c.Difference = delta.Make(r.Value, next.Value)
	}
	return c, len(c.Difference) <= len(next.Value)/2
}
