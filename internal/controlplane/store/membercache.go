package store

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// memory is the roll as the disk keeps it. Seeds are set once, while core
// machines are replaced one by one; without it a fleet whose first three core
// machines are gone could not find itself after a restart of everything.
type memberCache struct {
	savedVersion uint64
	nextSaveAt   ids.Time
}

const (
	memberCacheKey      = ids.RegisterKey("meta/roll")
	memberCacheInterval = 2 * time.Second
)

// remembered gives the addresses of all members that the disk knows.
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

// remember keeps the roll once it has changed, not too often.
func (s *Store) cacheMembersIfDue(now ids.Time) {
	if now < s.memberCache.nextSaveAt || s.memberCache.savedVersion == s.Version() {
		return
	}
	s.memberCache = memberCache{s.Version(), now.Add(memberCacheInterval)}
	s.Persist(memberCacheKey, membership.Snapshot{Members: s.All()})
}
