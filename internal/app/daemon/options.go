package daemon

import (
	"fmt"
	"net/http"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
)

const (
	// maxResolutionLifetime is the maximum lifetime of the directory's answers: traffic must
	// leave a failed zone within seconds.
	maxResolutionLifetime = 3 * time.Second
	// minPlanInterval is the minimum interval between two spill-over plans, so that a plan
	// reaches the proxies before the next one.
	minPlanInterval = time.Second
)

// RegistryOptions holds the options of a registry.
type RegistryOptions struct {
	settings.Common
	PlanInterval       time.Duration `help:"Interval between spill-over plans." default:"30s" name:"plan-every"`
	ResolutionLifetime time.Duration `help:"Lifetime of the directory's answers; at most 3s." default:"2s" name:"lifetime"`
	Incremental        bool          `help:"Send deltas only, from two registries to each proxy; must be the same on all registries and stores." name:"thrifty"`

	// The fields below have no flags; platform integrations set them.

	// Regions maps zones to regions, in addition to the configured zones.
	Regions map[ids.Name]string `kong:"-"`
	// AlwaysResolve makes the directory answer whenever it knows a proxy, even without a
	// confirmed view of the fleet.
	AlwaysResolve bool `kong:"-"`
	// DeriveZoneLevels derives the load levels of zones without configured levels from the
	// announcements of their targets.
	DeriveZoneLevels bool `kong:"-"`
	// ExtraHandlers returns additional HTTP handlers, by listen address.
	ExtraHandlers func(server *api.Server) map[string]http.Handler `kong:"-"`
}

// Validate checks the options. kong calls it after parsing.
func (o *RegistryOptions) Validate() error {
	if o.ResolutionLifetime <= 0 || o.ResolutionLifetime > maxResolutionLifetime {
		return &StartError{fmt.Errorf("--lifetime: must be positive and at most 3s")}
	}
	if o.PlanInterval < minPlanInterval {
		return &StartError{fmt.Errorf("--plan-every: must be at least 1s")}
	}
	return o.Common.Validate()
}

// StoreOptions holds the options of a store.
type StoreOptions struct {
	settings.Common
	DataDir  string `help:"Data directory; locked by this process." required:"" placeholder:"DIR" name:"data"`
	Replicas int    `help:"Number of voters: 2n+1 to tolerate the loss of n disks." default:"3" name:"copies"`
	// Bootstrap must be explicit: stores that lost their disks would otherwise bootstrap a
	// new, empty fleet.
	Bootstrap   bool          `help:"Bootstrap a new fleet. All seeds must have empty data directories and this flag." name:"bootstrap"`
	GracePeriod time.Duration `help:"Grace period after SIGTERM, in which the store is replaced as a voter or waits for a majority of other stores." default:"5s" name:"grace"`
	Incremental bool          `help:"Synchronize membership lists by deltas; must be the same on all registries and stores." name:"thrifty"`
}
