package store

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// memberCache is the state of the membership list's copy on the disk. The seeds are
// set once, while machines with stores are replaced one by one. Without the copy a
// fleet whose first three such machines are gone could not find itself after a
// restart of everything.
type memberCache struct {
	// savedVersion is the version of the list that was saved last.
	savedVersion uint64
	nextSaveAt   ids.Time
}

const (
	memberCacheKey = ids.RegisterKey("meta/roll")
	// memberCacheInterval is the least time between two saves. It bounds the writes
	// while the list changes fast; a copy that is a little old serves as well.
	memberCacheInterval = 2 * time.Second
)

// cachedAddresses returns the addresses of all members of the saved list but this one.
func cachedAddresses(storage consensus.Storage, self ids.Address) []ids.Address {
	raw, _ := storage.Get(memberCacheKey)
	_, msg, err := wire.ReadBytes(raw)
	snapshot, ok := msg.(membership.Snapshot)
	if !ok || err != nil {
		return nil
	}
	var addresses []ids.Address
	for _, m := range snapshot.Members {
		if m.Address != self {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// cacheMembersIfDue saves the list if it has changed since the last time.
func (s *Store) cacheMembersIfDue(now ids.Time) {
	if now < s.memberCache.nextSaveAt || s.memberCache.savedVersion == s.Version() {
		return
	}
	s.memberCache = memberCache{s.Version(), now.Add(memberCacheInterval)}
	s.Persist(memberCacheKey, membership.Snapshot{Members: s.All()})
}
