package consensus

import (
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

const (
	idempotencyPrefix      = registerPrefix + "mark/"
	afterIdempotencyPrefix = registerPrefix + "mark0"
)

// CheckDisk reads all registers but idempotency keys, with the changes behind
// them. An error means that the folder must be set aside: a store that left out
// what it can't read would forget what it voted for.
func CheckDisk(disk Storage) error {
	if raw, ok := disk.Get("meta/roster"); ok {
		if _, fine := decodeMessage[VoterSet](raw); !fine {
			return errs.New("read voter set", "meta/roster", "it is damaged or of another format")
		}
	}
	if raw, ok := disk.Get(diskStateKey); ok {
		if _, fine := decodeMessage[diskStateRecord](raw); !fine {
			return errs.New("read standing", diskStateKey, "it is damaged or of another format")
		}
	}
	known := map[ids.RegisterKey]bool{}
	after := ids.RegisterKey(registerPrefix)
	for {
		list := disk.Scan(after, 1)
		if len(list) == 0 {
			break
		}
		after = list[0].Key
		if strings.HasPrefix(string(after), idempotencyPrefix) {
			after = afterIdempotencyPrefix
			continue
		}
		key := after[len(registerPrefix):]
		if _, err := loadRegister(disk, key); err != nil {
			return err
		}
		known[key] = true
	}
	return checkChangesHaveBases(disk, known)
}

// checkChangesHaveBases finds changes whose base is gone.
func checkChangesHaveBases(disk Storage, known map[ids.RegisterKey]bool) error {
	after := ids.RegisterKey(changePrefix)
	for {
		list := disk.Scan(after, 1)
		if len(list) == 0 || !strings.HasPrefix(string(list[0].Key), changePrefix) {
			return nil
		}
		rest := string(list[0].Key[len(changePrefix):])
		key := ids.RegisterKey(rest[:max(strings.LastIndexByte(rest, '/'), 0)])
		if !known[key] {
			return errs.New("read change", string(list[0].Key), "its base is missing")
		}
		after = ids.RegisterKey(changePrefix + string(key) + "0")
	}
}
