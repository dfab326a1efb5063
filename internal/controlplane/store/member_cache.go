package store

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// memberCache tracks the copy of the membership list on disk. The configured seeds go
// stale as machines with stores are replaced one by one. Without the copy, the stores
// could not find each other after a full restart once all seeds have been replaced.
type memberCache struct {
	// savedVersion is the version of the last saved list.
	savedVersion uint64
	nextSaveAt   ids.Time
}

const (
	memberCacheKey = ids.RegisterKey("meta/roll")
	// memberCacheInterval is the minimum time between two saves. It bounds the write rate
	// while the list changes quickly.
	memberCacheInterval = 2 * time.Second
)

// cachedAddresses returns the addresses of all members of the saved list except self.
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

// cacheMembersIfDue saves the list if it has changed since the last save.
func (s *Store) cacheMembersIfDue(now ids.Time) {
	if now < s.memberCache.nextSaveAt || s.memberCache.savedVersion == s.Version() {
		return
	}
	s.memberCache = memberCache{s.Version(), now.Add(memberCacheInterval)}
	s.Persist(memberCacheKey, membership.Snapshot{Members: s.All()})
}
