package proxy

import (
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/settings"
)

// DaemonOptions are the options of a proxy process. Each flag's default stands in its tag.
type DaemonOptions struct {
	settings.Common
	// MaxResponseBytes bounds the body of a target's response; a larger one counts as
	// no response, and the request as one that may have run.
	MaxResponseBytes int `help:"Maximum size of a target's response body, in bytes." default:"4194304" name:"max-response"`
	// ReportInterval is the time between usage reports to the registries.
	ReportInterval time.Duration `help:"Interval between usage reports to the registries." default:"2s" name:"report-every"`
	// MaxQueueLength bounds the requests that wait for a slot, for each service.
	MaxQueueLength int `help:"Maximum number of queued requests of a service." default:"128" name:"inbox"`
	// Lease is how long requests are served by what can't be confirmed; see
	// ControlOptions.Lease.
	Lease time.Duration `help:"Lease duration: time for which requests are served with an unconfirmed configuration and targets; 2s to 3s." default:"2500ms" name:"lease"`
	// ClientListen is the address for clients' requests. If empty, they are served at the
	// address of the HTTP pages.
	ClientListen string `help:"Listen address for clients' requests. Defaults to the HTTP listen address." placeholder:"IP:PORT" name:"consumers"`
	// MemoryLimit bounds the bytes of bodies held for all requests; beyond it requests
	// are rejected.
	MemoryLimit int `help:"Memory limit for request and response bodies, in bytes; requests beyond it are rejected." default:"268435456" name:"max-held"`
	// GracePeriod is how long a shutdown waits for requests in flight.
	GracePeriod time.Duration `help:"Grace period for requests in flight after SIGTERM." default:"1700ms" name:"grace"`
	// DialTimeout bounds the opening of a connection to a target.
	DialTimeout time.Duration `help:"Timeout for opening a connection to a target." default:"1s" name:"dial-within"`
	// Frontend is the protocol with clients and targets; nil for the native one.
	Frontend Frontend `kong:"-"`
	SlotLayout
}

const (
	// minLease: a shorter lease would end between two confirmations by the registries.
	minLease = 2 * time.Second
	// maxLease: with a longer one a change would be in force too late.
	maxLease = 3 * time.Second
)

// Validate checks the options, those of settings.Common included.
func (o *DaemonOptions) Validate() error {
	if o.Lease != EndlessLease && (o.Lease < minLease || o.Lease > maxLease) {
		return errs.New("read params", "", "--lease: must be from 2s to 3s")
	}
	return o.Common.Validate()
}
