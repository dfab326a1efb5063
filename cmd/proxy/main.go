// Command proxy runs the proxy daemon (package dataplane/proxy), which forwards clients'
// requests to targets, until SIGTERM or SIGINT.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/dataplane/proxy"
)

func main() {
	var options proxy.DaemonOptions
	settings.Read("proxy", "Forwards clients' requests to the targets of dunlinwell's services.", &options)
	daemon.Exit("proxy", proxy.NewDaemon(options).Run(daemon.SignalContext()))
}
