package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// unconfirmedFor is how long a proxy that has just started, and reaches nobody
// with a fresh agreement, waits for one before it serves by what it was told.
const unconfirmedFor = 3 * time.Second

// open has a proxy with an endless lease begin to serve. What it was told at its
// start may come from a registry that has been cut off since long ago, so it
// begins by an agreement of late. Where none can be had it begins all the same, as
// it would go on had it not been restarted; but it says so, and how old it is.
func (c *Control) open(now ids.Time) {
	if c.opened || c.Lease != Endless || c.view.Revision == 0 || !c.told {
		return
	}
	switch {
	case c.current:
		c.opened = true
	case c.unconfirmed == 0:
		c.unconfirmed = now
	case now.Sub(c.unconfirmed) >= unconfirmedFor:
		c.opened = true
		c.Log(event.LevelWarn, "serves unconfirmed", "revision", itoa(uint64(c.view.Revision)), "agreed_ms_ago", itoa(uint64(now.Sub(c.agreed)/time.Millisecond)))
	}
}
