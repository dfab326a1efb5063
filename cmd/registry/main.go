// Command registry is the registry: targets, liveness, the directory, the spill
// planner and every outside control call.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/config"
)

func main() {
	var p daemon.RegistryOptions
	config.Read("registry", "Keeps dunlinwell's targets and directory, plans the spill and takes control calls.", &p)
	daemon.Exit("registry", daemon.RunRegistry(daemon.SignalContext(), p))
}
