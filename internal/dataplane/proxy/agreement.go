package proxy

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// storeQueryAge is how old an agreement may be before the proxy asks the
// stores itself: all registries may be gone while a majority still agrees.
const storeQueryAge = time.Second

func (c *Control) queryStores(now ids.Time) {
	after := storeQueryAge
	if c.ByZone {
		// Two registries say a word a second; to ask sooner than both are silent would
		// cost a round of the stores for each proxy and second.
		after = 4 * storeQueryAge
	}
	if c.readingConfiguration || now.Sub(c.configurationConfirmedAt) < after {
		return
	}
	c.readingConfiguration = true
	c.Client.Call(now, configuration.Key, consensus.Read, nil, time.Second, func(at ids.Time, s consensus.Outcome, out []byte) {
		c.readingConfiguration = false
		if s != consensus.Succeeded {
			return
		}
		if p, err := configuration.Decode(out); err == nil {
			p.RecentResults, p.RejectedResults, p.History = nil, nil, nil
			c.adoptConfiguration(at, out)
			c.confirmConfiguration(at, p.Revision, now)
		}
	})
}

// confirmConfiguration notes that a revision was the newest in an agreement that began at
// a time. It confirms what this proxy goes by only if that is no older.
func (c *Control) confirmConfiguration(now ids.Time, r ids.Revision, at ids.Time) {
	if c.view.Revision >= r {
		c.configurationConfirmedAt = max(c.configurationConfirmedAt, at)
		// An agreement of late may have begun before this run did.
		c.everConfirmed = c.everConfirmed || now.Sub(at) <= maxConfirmationAge
	}
}

// confirmedAt is as of when all that this proxy goes by is known to be in force.
func (c *Control) confirmedAt() ids.Time {
	return min(c.configurationConfirmedAt, c.targetsConfirmedAt)
}

// leaseEnd is when the lease on it ends. Nothing leaves after that: an accepted
// change, an emptied zone, a target that left can't wait for us any longer.
func (c *Control) leaseEnd() ids.Time {
	if c.Lease == EndlessLease {
		// Rules with a time bound hold for proxies in touch; one that isn't
		// serves by what it last knew, once it has known anything.
		if !c.serving {
			return 0
		}
		return 1 << 62
	}
	if c.confirmedAt() <= c.resumedAt {
		return 0
	}
	return c.confirmedAt().Add(c.Lease)
}

// renewLease tells the dispatchers until when they may serve, as soon as that moves on.
func (c *Control) renewLease() {
	if c.confirmedAt() == c.sentConfirmedAt {
		return
	}
	c.sentConfirmedAt = c.confirmedAt()
	for _, n := range slices.Sorted(maps.Keys(c.view.Services)) {
		c.Emit(DispatchEvent{n, dispatch.LeaseUpdated{ExpiresAt: c.leaseEnd()}})
	}
}

// roundedUpAge reads a span off the wire; it is rounded so as never to seem shorter.
func roundedUpAge(ms uint32) time.Duration { return time.Duration(ms+1) * time.Millisecond }
