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
func (f *Registry) isolated(now ids.Time) bool { return f.age(now) > isolatedAfter }

// silent gives the targets that have been silent for too long. A registry apart
// doesn't judge: those that it misses call on others. It counts anew once it is
// back, as their silence was its own.
func (f *Registry) silent(now ids.Time) []targets.Target {
	if f.isolated(now) {
		f.Targets.Excuse(now)
	}
	return f.Targets.Clock(now)
}

// answerable tells whether there is anyone to read the policy from. A registry
// that just started knows nobody yet; an ask that leaves no one's way would
// hold the next one up for the whole span of a try.
func (f *Registry) answerable() bool { return !f.params.Incremental || len(f.stores("")) > 0 }
