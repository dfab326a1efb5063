package consensus

import (
	"errors"
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

var (
	// ErrDamaged means that a record of the acceptor itself can't be read.
	ErrDamaged = errors.New("it is damaged or of another format")
	// ErrMissingBase means that changes to a register are on disk, but not what they change.
	ErrMissingBase = errors.New("its base is missing")
)

const (
	idempotencyPrefix = registerPrefix + "mark/"
	// afterIdempotencyPrefix sorts behind all records of idempotency keys, as '0'
	// follows '/'.
	afterIdempotencyPrefix = registerPrefix + "mark0"
)

// CheckDisk reads all that a store has on disk, except the records of idempotency keys,
// of which there are many. Any error means that the store must not use the disk:
// one that skipped what it can't read would forget what it promised.
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

// checkChangesHaveBases finds changes whose base is gone.
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
		// '0' follows '/', so this sorts behind all changes to this register.
		after = ids.RegisterKey(changePrefix + string(key) + "0")
	}
}
