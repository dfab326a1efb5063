package counter

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/desk"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/ticket"
)

// askAfter is how old an agreement may be before the counter asks the
// stockrooms itself: all foremen may be gone while a majority still agrees.
const askAfter = time.Second

func (c *Control) askPolicy(now ticket.Tick) {
	after := askAfter
	if c.ByCell {
		// Two foremen say a word a second; to ask sooner than both are silent would
		// cost a round of the stockrooms for each counter and second.
		after = 4 * askAfter
	}
	if c.reading || now.Since(c.agreed) < after {
		return
	}
	c.reading = true
	c.Asker.Want(now, catalogue.Key, ledger.Read, nil, time.Second, func(at ticket.Tick, s ledger.State, out []byte) {
		c.reading = false
		if s != ledger.Done {
			return
		}
		if p, err := catalogue.Open(out); err == nil {
			p.Recent, p.Declined = nil, nil
			c.adopt(at, out)
			c.confirm(p.Revision, now)
		}
	})
}

// confirm notes that a revision was the newest in an agreement that began at
// a time. It confirms what this counter goes by only if that is no older.
func (c *Control) confirm(r ticket.Revision, at ticket.Tick) {
	if c.view.Revision >= r {
		c.agreed = max(c.agreed, at)
	}
}

// sure is as of when all that this counter goes by is known to be in force.
func (c *Control) sure() ticket.Tick { return min(c.agreed, c.word) }

// until is when the lease on it ends. Nothing leaves after that: an accepted
// change, an emptied cell, a target that left can't wait for us any longer.
func (c *Control) until() ticket.Tick {
	if c.Lease == Endless {
		// Rules with a time bound hold for counters in touch; one that isn't
		// serves by what it last knew, once it has known anything.
		if c.view.Revision == 0 || c.word == 0 {
			return 0
		}
		return 1 << 62
	}
	if c.sure() <= c.woke {
		return 0
	}
	return c.sure().Add(c.Lease)
}

// lease tells the desks until when they may serve, as soon as that moves on.
func (c *Control) lease() {
	if c.sure() == c.leased {
		return
	}
	c.leased = c.sure()
	for _, n := range slices.Sorted(maps.Keys(c.view.Services)) {
		c.Do(ToDesk{n, desk.Lease{Until: c.until()}})
	}
}

// age reads a span off the wire; it is rounded so as never to seem shorter.
func age(ms uint32) time.Duration { return time.Duration(ms+1) * time.Millisecond }
