package consensus

import (
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

const (
	marksPrefix = slotPrefix + "mark/"
	behindMarks = slotPrefix + "mark0"
)

// CheckDisk reads all registers but idempotency keys, with the changes behind
// them. An error means that the folder must be set aside: a store that left out
// what it can't read would forget what it voted for.
func CheckDisk(disk Storage) error {
	if raw, ok := disk.Get("meta/roster"); ok {
		if _, fine := unpack[VoterSet](raw); !fine {
			return errs.New("read voter set", "meta/roster", "it is damaged or of another format")
		}
	}
	if raw, ok := disk.Get(standingKey); ok {
		if _, fine := unpack[standing](raw); !fine {
			return errs.New("read standing", standingKey, "it is damaged or of another format")
		}
	}
	known := map[ids.Key]bool{}
	after := ids.Key(slotPrefix)
	for {
		list := disk.Scan(after, 1)
		if len(list) == 0 {
			break
		}
		after = list[0].Key
		if strings.HasPrefix(string(after), marksPrefix) {
			after = behindMarks
			continue
		}
		key := after[len(slotPrefix):]
		if _, err := loadRegister(disk, key); err != nil {
			return err
		}
		known[key] = true
	}
	return checkChangesHaveBases(disk, known)
}

// checkChangesHaveBases finds changes whose base is gone.
func checkChangesHaveBases(disk Storage, known map[ids.Key]bool) error {
	after := ids.Key(changePrefix)
	for {
		list := disk.Scan(after, 1)
		if len(list) == 0 || !strings.HasPrefix(string(list[0].Key), changePrefix) {
			return nil
		}
		rest := string(list[0].Key[len(changePrefix):])
		key := ids.Key(rest[:max(strings.LastIndexByte(rest, '/'), 0)])
		if !known[key] {
			return errs.New("read change", string(list[0].Key), "its base is missing")
		}
		after = ids.Key(changePrefix + string(key) + "0")
	}
}
