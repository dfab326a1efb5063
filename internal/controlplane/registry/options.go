package registry

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
)

const (
	defaultPlanInterval = 30 * time.Second
	defaultLifetime     = 2 * time.Second
)

// Options configure a registry; zero values take the defaults.
type Options struct {
	membership.Options

	// Random draws destinations and routes. It has no default.
	Random *rand.Rand

	// PlanEvery is the interval between two spill plans; 30 s by default.
	PlanEvery time.Duration

	// Lifetime is how long clients may use an answer of the directory; 2 s by default.
	Lifetime time.Duration

	// ControlLease is how old the last agreement with a majority of stores may be
	// for this registry to confirm, reject or hand out anything;
	// distribution.ControlLease by default. Reads begin every second, and one that
	// a lost store delays is answered by the next store within another 400 ms, so a
	// shorter lease would lapse in normal operation.
	ControlLease time.Duration

	// Regions maps the zones that this daemon was configured with to their regions.
	Regions map[ids.Name]string

	// Incremental makes registries exchange only changes of targets and members,
	// and share the proxies out among them. Without it every registry sends
	// everything to everybody. It hides membership.Options.Incremental, which says the
	// same of the membership list and has to be set with it.
	Incremental bool

	// AlwaysResolve makes the directory name some known proxy even without the
	// control lease or an eligible proxy.
	AlwaysResolve bool

	// DeriveSetPoints computes the load levels of zones that have none configured
	// from the capacity that their targets report.
	DeriveSetPoints bool
}

func (o *Options) setDefaults() {
	if o.PlanEvery == 0 {
		o.PlanEvery = defaultPlanInterval
	}
	if o.ControlLease == 0 {
		o.ControlLease = distribution.ControlLease
	}
	if o.Lifetime == 0 {
		o.Lifetime = defaultLifetime
	}
}
