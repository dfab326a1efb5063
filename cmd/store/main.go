// Command store runs a store, which persists the configuration, idempotency records and
// leases, replicated to a majority of stores.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
)

func main() {
	var options daemon.StoreOptions
	settings.Read("store", "Stores dunlinwell's configuration, idempotency records and leases, replicated by consensus.", &options)
	daemon.Exit("store", daemon.RunStore(daemon.SignalContext(), options))
}
