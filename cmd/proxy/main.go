// Command proxy runs the proxy daemon (package dataplane/proxy) until it gets SIGTERM or
// SIGINT: it carries clients' requests to targets.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/dataplane/proxy"
)

func main() {
	var options proxy.DaemonOptions
	settings.Read("proxy", "Carries consumers' requests to the targets of dunlinwell's services.", &options)
	daemon.Exit("proxy", proxy.NewDaemon(options).Run(daemon.SignalContext()))
}
