package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// unconfirmedStartDelay is how long a proxy that has just started, and reaches nobody
// with a fresh agreement, waits for one before it serves by what it was told.
const unconfirmedStartDelay = 3 * time.Second

// startServing has a proxy with an endless lease begin to serve. What it was told at its
// start may come from a registry that has been cut off since long ago, so it
// begins by an agreement of late. Where none can be had it begins all the same, as
// it would go on had it not been restarted; but it says so, and how old it is.
func (c *Control) startServing(now ids.Time) {
	if c.serving || c.Lease != EndlessLease || c.view.Revision == 0 || !c.targetsReceived {
		return
	}
	switch {
	case c.everConfirmed:
		c.serving = true
	case c.unconfirmedSince == 0:
		c.unconfirmedSince = now
	case now.Sub(c.unconfirmedSince) >= unconfirmedStartDelay:
		c.serving = true
		c.Log(event.LevelWarn, "serves unconfirmed", "revision", formatUint(uint64(c.view.Revision)), "agreed_ms_ago", formatUint(uint64(now.Sub(c.configurationConfirmedAt)/time.Millisecond)))
	}
}
