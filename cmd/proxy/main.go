// Command proxy is the proxy: it carries consumers' requests to targets.
package main

import (
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/config"
	"dunlinwell/internal/dataplane/proxy"
)

func main() {
	var p proxy.Params
	config.Read("proxy", "Carries consumers' requests to the targets of dunlinwell's services.", &p)
	daemon.Exit("proxy", proxy.NewDaemon(p).Run(daemon.SignalContext()))
}
