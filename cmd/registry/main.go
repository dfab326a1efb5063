// Command registry runs a registry: the target table with health tracking, the directory,
// the spill-over planner and the control API.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
)

func main() {
	var options daemon.RegistryOptions
	settings.Read("registry", "Tracks dunlinwell's targets, serves the directory and the control API, and plans spill-over.", &options)
	daemon.Exit("registry", daemon.RunRegistry(daemon.SignalContext(), options))
}
