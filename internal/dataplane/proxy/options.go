package proxy

import (
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/settings"
)

// DaemonOptions are the options of a proxy process.
type DaemonOptions struct {
	settings.Common
	// MaxResponseBytes limits the body of a target's response. A larger one is discarded,
	// and the request counts as one that may have run.
	MaxResponseBytes int `help:"Maximum size of a target's response body, in bytes." default:"4194304" name:"max-response"`
	// ReportInterval is the interval of the usage reports to the registries.
	ReportInterval time.Duration `help:"Interval of the usage reports to the registries." default:"2s" name:"report-every"`
	// MaxQueueLength limits the queued requests of each service.
	MaxQueueLength int `help:"Maximum number of queued requests of a service." default:"128" name:"inbox"`
	// Lease is how long requests are served without a confirmation of the state; see
	// ControlOptions.Lease.
	Lease time.Duration `help:"How long requests are served without a confirmation of configuration and targets, 2s to 3s." default:"2500ms" name:"lease"`
	// ClientListen is the listen address for client requests. If empty, they are served at
	// the address of the HTTP pages.
	ClientListen string `help:"Listen address for client requests, if not that of --http." placeholder:"IP:PORT" name:"consumers"`
	// MemoryLimit limits the memory for request and response bodies, in bytes. Requests
	// that exceed it are rejected.
	MemoryLimit int `help:"Memory limit for request and response bodies, in bytes; requests that exceed it are rejected." default:"268435456" name:"max-held"`
	// GracePeriod is how long a graceful shutdown waits for requests in flight.
	GracePeriod time.Duration `help:"How long a graceful shutdown waits for requests in flight." default:"1700ms" name:"grace"`
	// DialTimeout is the timeout of opening a connection to a target.
	DialTimeout time.Duration `help:"Timeout of opening a connection to a target." default:"1s" name:"dial-within"`
	// Frontend implements the protocols with clients and targets; nil for the native ones.
	Frontend Frontend `kong:"-"`
	SlotLayout
}

const (
	// minLease is the minimum lease. A shorter one could expire between two confirmations.
	minLease = 2 * time.Second
	// maxLease is the maximum lease. With a longer one, changes could take effect too late.
	maxLease = 3 * time.Second
)

// Validate checks the options, including those of settings.Common.
func (o *DaemonOptions) Validate() error {
	if o.Lease != UnlimitedLease && (o.Lease < minLease || o.Lease > maxLease) {
		return errs.New("read params", "", "--lease: must be from 2s to 3s")
	}
	return o.Common.Validate()
}
