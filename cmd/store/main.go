// Command store runs a store, which keeps the configuration, idempotency records and
// leases on disk, agreed on by a majority of stores.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
)

func main() {
	var options daemon.StoreOptions
	settings.Read("store", "Keeps dunlinwell's policy, marks and duties, agreed on by a majority.", &options)
	daemon.Exit("store", daemon.RunStore(daemon.SignalContext(), options))
}
