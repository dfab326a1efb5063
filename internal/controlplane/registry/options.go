package registry

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
)

const (
	defaultPlanInterval       = 30 * time.Second
	defaultResolutionLifetime = 2 * time.Second
)

// Options configures a registry; zero values select the defaults.
type Options struct {
	membership.Options

	// Random is the source for choosing destinations and routes. It is required.
	Random *rand.Rand

	// PlanInterval is the interval between two spill plans; 30 s by default.
	PlanInterval time.Duration

	// ResolutionLifetime is how long clients may use a directory answer; 2 s by default.
	ResolutionLifetime time.Duration

	// ControlLease is the duration of the control lease: this registry confirms
	// changes, rejects them and serves data only if its last quorum read is at most
	// this old. The default is distribution.ControlLease. Reads start every second,
	// and a failed store delays one by up to 400 ms, so a shorter lease would expire
	// in normal operation.
	ControlLease time.Duration

	// Regions maps zones to regions, as set in this daemon's own configuration.
	Regions map[ids.Name]string

	// Incremental makes registries exchange only changes of targets and members, and
	// divide the proxies among themselves. Without it every registry sends its full
	// state to all peers and proxies. It shadows membership.Options.Incremental, which
	// does the same for the membership list and must be set as well.
	Incremental bool

	// AlwaysResolve makes the directory return a known proxy even if the control
	// lease has expired or no proxy is eligible.
	AlwaysResolve bool

	// DeriveZoneLevels computes the load levels of zones without configured levels
	// from the capacity that their targets report.
	DeriveZoneLevels bool
}

func (o *Options) setDefaults() {
	if o.PlanInterval == 0 {
		o.PlanInterval = defaultPlanInterval
	}
	if o.ControlLease == 0 {
		o.ControlLease = distribution.ControlLease
	}
	if o.ResolutionLifetime == 0 {
		o.ResolutionLifetime = defaultResolutionLifetime
	}
}
