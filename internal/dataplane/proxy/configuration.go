package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

const (
	// storeQueryAge is how old the last confirmation of the configuration may be before
	// the proxy reads it from the stores itself: all registries may be gone while a
	// majority of stores still answers. Registries confirm it several times a second.
	storeQueryAge = time.Second
	// storeQueryAgeByZone is the same in a fleet by zone, where two registries push once
	// a second to a proxy that has nothing new: asking before both have missed their
	// turn would cost the stores a round for each proxy and second.
	storeQueryAgeByZone = 4 * storeQueryAge
	// storeQueryTimeout bounds one read of the configuration from the stores.
	storeQueryTimeout = time.Second
)

// emptyConfiguration is the configuration before any is known. Decode accepts nil as
// the empty document.
func emptyConfiguration() *configuration.Document {
	empty, _ := configuration.Decode(nil)
	return empty
}

// adoptConfiguration replaces the configuration by a newer one; an older or unreadable
// one is ignored.
func (c *Control) adoptConfiguration(now ids.Time, encoded []byte) {
	next, err := c.configuration.Advance(encoded)
	if err != nil || next == c.configuration {
		return
	}
	hadLease := c.leaseValid(now)
	previous := c.view
	c.configuration, c.view = next, next.View()
	c.view.SetRegions(c.Regions)
	c.restartZoneSlowStart(now, previous)
	c.noteZoneDrain(now, hadLease)
	c.sendChangedTerms()
	c.Emit(UpdateRoutes{View: c.view})
	c.Log(event.LevelInfo, logConfigurationAdopted, "revision", formatUint(uint64(next.Revision)))
}

// confirmConfiguration records that the given revision was the newest one in a majority
// read that began at asOf. It confirms the configuration held here unless that is older.
func (c *Control) confirmConfiguration(now ids.Time, revision ids.Revision, asOf ids.Time) {
	if c.view.Revision < revision {
		return
	}
	c.configurationConfirmedAt = max(c.configurationConfirmedAt, asOf)
	// A recent majority read may have begun before this process did.
	c.everConfirmed = c.everConfirmed || now.Sub(asOf) <= maxConfirmationAge
}

// queryStores reads the configuration from the stores when no registry has confirmed it
// for a while.
func (c *Control) queryStores(now ids.Time) {
	maxAge := storeQueryAge
	if c.ByZone {
		maxAge = storeQueryAgeByZone
	}
	if c.queryingStores || now.Sub(c.configurationConfirmedAt) < maxAge {
		return
	}
	c.queryingStores = true
	c.Client.Call(now, configuration.Key, consensus.Read, nil, storeQueryTimeout, func(at ids.Time, outcome consensus.Outcome, encoded []byte) {
		c.queryingStores = false
		if outcome != consensus.Succeeded {
			return
		}
		if read, err := configuration.Decode(encoded); err == nil {
			c.adoptConfiguration(at, encoded)
			c.confirmConfiguration(at, read.Revision, now)
		}
	})
}
