// Command registry runs a registry: targets and their liveness, the directory, the spill
// planner and the control API.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
)

func main() {
	var options daemon.RegistryOptions
	settings.Read("registry", "Keeps dunlinwell's targets and directory, plans the spill and takes control calls.", &options)
	daemon.Exit("registry", daemon.RunRegistry(daemon.SignalContext(), options))
}
