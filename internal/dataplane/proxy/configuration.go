package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

const (
	// storeQueryAge is the age of the last confirmation of the configuration after which the
	// proxy reads it from the stores itself: all registries may have failed while a majority
	// of stores is still available. Registries confirm it several times a second.
	storeQueryAge = time.Second
	// storeQueryAgeByZone replaces storeQueryAge with SlotLayout.ByZone, where two registries
	// push to an up-to-date proxy only once a second. A shorter age would cause a
	// store query per proxy and second in normal operation.
	storeQueryAgeByZone = 4 * storeQueryAge
	// storeQueryTimeout is the timeout of one read of the configuration from the stores.
	storeQueryTimeout = time.Second
)

// emptyConfiguration returns the configuration used before any is known. Decode accepts nil
// as the empty document.
func emptyConfiguration() *configuration.Document {
	empty, _ := configuration.Decode(nil)
	return empty
}

// adoptConfiguration replaces the configuration if the encoded one is newer. It ignores an
// older or invalid one.
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
	c.updateDrainState(now, hadLease)
	c.sendChangedRouteRules()
	c.Emit(UpdateRoutes{View: c.view})
	c.Log(event.LevelInfo, logConfigurationAdopted, "revision", formatUint(uint64(next.Revision)))
}

// confirmConfiguration records that a quorum read that began at asOf returned the given
// revision as the newest. It has no effect if the configuration in use is older.
func (c *Control) confirmConfiguration(now ids.Time, revision ids.Revision, asOf ids.Time) {
	if c.view.Revision < revision {
		return
	}
	c.configurationConfirmedAt = max(c.configurationConfirmedAt, asOf)
	// A recent quorum read may have begun before this process started.
	c.everConfirmed = c.everConfirmed || now.Sub(asOf) <= maxConfirmationAge
}

// queryStores reads the configuration from the stores if its last confirmation is older than
// storeQueryAge.
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
