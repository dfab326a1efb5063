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
	// maxResolutionLifetime bounds how long clients may trust an answer of the
	// directory: traffic must leave a failed zone within seconds.
	maxResolutionLifetime = 3 * time.Second
	// minPlanInterval leaves a plan the time to reach the proxies before the next.
	minPlanInterval = time.Second
)

// RegistryOptions holds the options of a registry.
type RegistryOptions struct {
	settings.Common
	PlanEvery          time.Duration `help:"How often the spill is planned." default:"30s" name:"plan-every"`
	ResolutionLifetime time.Duration `help:"How long an answer of the directory may be trusted, 3s at most." default:"2s" name:"lifetime"`
	Incremental        bool          `help:"Tell only of what changes, and each proxy by two registries alone; the same on all core daemons." name:"thrifty"`

	// The fields below have no flags; a platform's own start sets them.

	// Regions maps zones to their regions, beside those that are configured.
	Regions map[ids.Name]string `kong:"-"`
	// AlwaysResolve lets the directory answer whenever it knows any proxy, also
	// without a confirmed view of the fleet.
	AlwaysResolve bool `kong:"-"`
	// DeriveSetPoints derives the levels of unconfigured zones from what their targets
	// announce.
	DeriveSetPoints bool `kong:"-"`
	// ExtraHandlers gives handlers to serve beside the API, by listen address.
	ExtraHandlers func(server *api.Server) map[string]http.Handler `kong:"-"`
}

// Validate checks the options; kong calls it.
func (o *RegistryOptions) Validate() error {
	if o.ResolutionLifetime <= 0 || o.ResolutionLifetime > maxResolutionLifetime {
		return &StartError{fmt.Errorf("--lifetime: must be over 0 and at most 3s")}
	}
	if o.PlanEvery < minPlanInterval {
		return &StartError{fmt.Errorf("--plan-every: must be at least 1s")}
	}
	return o.Common.Validate()
}

// StoreOptions holds the options of a store.
type StoreOptions struct {
	settings.Common
	DataDir  string `help:"The data folder, held by this process alone." required:"" placeholder:"DIR" name:"data"`
	Replicas int    `help:"How many stores keep each item: one more than twice the disks that may be lost at once." default:"3" name:"copies"`
	// Bootstrap must be asked for: stores that lost their disks would otherwise found an
	// empty fleet in place of the one that they belong to.
	Bootstrap   bool          `help:"The fleet starts for the first time, on empty disks: the seeds, all blank and all with this flag, may found it." name:"bootstrap"`
	GracePeriod time.Duration `help:"How long this store may go on after the polite signal, to hand its vote over or while too few others are up." default:"5s" name:"grace"`
	Incremental bool          `help:"Compare rolls by parts and tell only of what differs, as registries do." name:"thrifty"`
}
