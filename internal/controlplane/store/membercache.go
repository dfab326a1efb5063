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
	saved  uint64
	rested ids.Time
}

const (
	rollKey     = ids.Key("meta/roll")
	rememberNow = 2 * time.Second
)

// remembered gives the addresses of all members that the disk knows.
func cachedMembers(shelf consensus.Storage, self ids.Address) []ids.Address {
	raw, _ := shelf.Get(rollKey)
	_, msg, err := wire.ReadBytes(raw)
	c, ok := msg.(membership.Snapshot)
	if !ok || err != nil {
		return nil
	}
	var out []ids.Address
	for _, m := range c.Members {
		if m.Address != self {
			out = append(out, m.Address)
		}
	}
	return out
}

// remember keeps the roll once it has changed, not too often.
func (s *Store) cacheMembers(now ids.Time) {
	if now < s.memberCache.rested || s.memberCache.saved == s.Version() {
		return
	}
	s.memberCache = memberCache{s.Version(), now.Add(rememberNow)}
	s.Persist(rollKey, membership.Snapshot{Members: s.All()})
}
