package consensus

import (
	"errors"
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

var (
	// ErrDamaged means that a metadata record of the acceptor can't be decoded.
	ErrDamaged = errors.New("record is damaged or has an unknown format")
	// ErrMissingBase means that the disk holds changes to a register, but not their base.
	ErrMissingBase = errors.New("base record is missing")
)

const (
	idempotencyPrefix = registerPrefix + "mark/"
	// afterIdempotencyPrefix sorts after all records of idempotency keys, as '0' follows
	// '/' in ASCII.
	afterIdempotencyPrefix = registerPrefix + "mark0"
)

// CheckDisk verifies that all records on a store's disk are readable, except the many records
// of idempotency keys. A store must not use a disk with an error: if it skipped an unreadable
// record, it would break the promises in it.
func CheckDisk(disk Storage) error {
	if raw, ok := disk.Get(voterSetRecordKey); ok {
		if _, ok := decodeMessage[VoterSet](raw); !ok {
			return errs.Wrap(ErrDamaged, "read voter set", voterSetRecordKey)
		}
	}
	if raw, ok := disk.Get(diskStateKey); ok {
		if _, ok := decodeMessage[diskStateRecord](raw); !ok {
			return errs.Wrap(ErrDamaged, "read disk state", diskStateKey)
		}
	}
	bases := map[ids.RegisterKey]bool{}
	after := ids.RegisterKey(registerPrefix)
	for {
		records := disk.Scan(after, 1)
		if len(records) == 0 {
			break
		}
		after = records[0].Key
		if strings.HasPrefix(string(after), idempotencyPrefix) {
			after = afterIdempotencyPrefix
			continue
		}
		key := after[len(registerPrefix):]
		if _, err := loadRegister(disk, key); err != nil {
			return err
		}
		bases[key] = true
	}
	return checkChangesHaveBases(disk, bases)
}

// checkChangesHaveBases returns an error if a change on disk has no base.
func checkChangesHaveBases(disk Storage, bases map[ids.RegisterKey]bool) error {
	after := ids.RegisterKey(changePrefix)
	for {
		records := disk.Scan(after, 1)
		if len(records) == 0 || !strings.HasPrefix(string(records[0].Key), changePrefix) {
			return nil
		}
		keyAndNumber := string(records[0].Key[len(changePrefix):])
		key := ids.RegisterKey(keyAndNumber[:max(strings.LastIndexByte(keyAndNumber, '/'), 0)])
		if !bases[key] {
			return errs.Wrap(ErrMissingBase, "read change", string(records[0].Key))
		}
		// '0' follows '/' in ASCII, so this sorts after all changes to this register.
		after = ids.RegisterKey(changePrefix + string(key) + "0")
	}
}
