// Command store is the durable store of policy, marks and duties.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/config"
)

func main() {
	var p daemon.StoreOptions
	config.Read("store", "Keeps dunlinwell's policy, marks and duties, agreed on by a majority.", &p)
	daemon.Exit("store", daemon.RunStore(daemon.SignalContext(), p))
}
