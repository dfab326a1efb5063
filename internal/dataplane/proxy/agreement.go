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

// askAfter is how old an agreement may be before the proxy asks the
// stores itself: all registries may be gone while a majority still agrees.
const askAfter = time.Second

func (c *Control) askConfiguration(now ids.Time) {
	after := askAfter
	if c.ByZone {
		// Two registries say a word a second; to ask sooner than both are silent would
		// cost a round of the stores for each proxy and second.
		after = 4 * askAfter
	}
	if c.reading || now.Sub(c.agreed) < after {
		return
	}
	c.reading = true
	c.Client.Call(now, configuration.Key, consensus.Read, nil, time.Second, func(at ids.Time, s consensus.Outcome, out []byte) {
		c.reading = false
		if s != consensus.Succeeded {
			return
		}
		if p, err := configuration.Decode(out); err == nil {
			p.RecentResults, p.RejectedResults, p.History = nil, nil, nil
			c.adopt(at, out)
			c.confirm(at, p.Revision, now)
		}
	})
}

// confirm notes that a revision was the newest in an agreement that began at
// a time. It confirms what this proxy goes by only if that is no older.
func (c *Control) confirm(now ids.Time, r ids.Revision, at ids.Time) {
	if c.view.Revision >= r {
		c.agreed = max(c.agreed, at)
		// An agreement of late may have begun before this run did.
		c.current = c.current || now.Sub(at) <= agreedWithin
	}
}

// sure is as of when all that this proxy goes by is known to be in force.
func (c *Control) sure() ids.Time { return min(c.agreed, c.word) }

// until is when the lease on it ends. Nothing leaves after that: an accepted
// change, an emptied zone, a target that left can't wait for us any longer.
func (c *Control) until() ids.Time {
	if c.Lease == Endless {
		// Rules with a time bound hold for proxies in touch; one that isn't
		// serves by what it last knew, once it has known anything.
		if !c.opened {
			return 0
		}
		return 1 << 62
	}
	if c.sure() <= c.woke {
		return 0
	}
	return c.sure().Add(c.Lease)
}

// lease tells the dispatchers until when they may serve, as soon as that moves on.
func (c *Control) lease() {
	if c.sure() == c.leased {
		return
	}
	c.leased = c.sure()
	for _, n := range slices.Sorted(maps.Keys(c.view.Services)) {
		c.Emit(DispatchEvent{n, dispatch.Lease{Until: c.until()}})
	}
}

// age reads a span off the wire; it is rounded so as never to seem shorter.
func age(ms uint32) time.Duration { return time.Duration(ms+1) * time.Millisecond }
