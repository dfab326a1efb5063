package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// apartAfter is how old an agreement may be before a registry counts as apart
// from its majority. Reads come every pollEvery, and one that a lost store
// holds up is answered by the next within this.
const isolatedAfter = 1200 * time.Millisecond

// apart tells whether this registry may stand on the lesser side of a split: it
// hears neither of the targets that call on the other side, nor do those there
// hear of the ones that call here.
func (r *Registry) isolated(now ids.Time) bool { return r.agreementAge(now) > isolatedAfter }

// expireSilentTargets gives the targets that have been silent for too long. A registry apart
// doesn't judge: those that it misses call on others. It counts anew once it is
// back, as their silence was its own.
func (r *Registry) expireSilentTargets(now ids.Time) []targets.Target {
	if r.isolated(now) {
		r.Targets.ExtendDeadlines(now)
	}
	return r.Targets.Tick(now)
}

// knowsStore tells whether there is anyone to read the configuration from. A registry
// that just started knows nobody yet; an ask that leaves no one's way would
// hold the next one up for the whole span of a try.
func (r *Registry) knowsStore() bool { return !r.options.Incremental || len(r.storeOrder("")) > 0 }
