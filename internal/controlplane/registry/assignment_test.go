package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A registry with occasional slow quorum reads keeps its targets and proxies; one whose last
// quorum read is older than distrustAfterAge loses them.
func TestAssignment_StableUnderSlowQuorumReads(t *testing.T) {
	is := is.New(t)
	r := newIncrementalRegistry()
	for range 5 {
		r.tickWithPeers(100 * time.Millisecond)
	}
	is.Equal(len(r.assignment.registries), 3)
	for range 40 {
		r.tickWithPeers(1600 * time.Millisecond)
		is.Equal(len(r.assignment.registries), 3)
		r.tickWithPeers(900 * time.Millisecond)
		is.Equal(len(r.assignment.registries), 3)
	}
	r.tickWithPeers(2600 * time.Millisecond)
	is.Equal(len(r.assignment.registries), 1)
	r.tickWithPeers(1600 * time.Millisecond) // not recent enough to be trusted again
	is.Equal(len(r.assignment.registries), 1)
	r.tickWithPeers(500 * time.Millisecond)
	is.Equal(len(r.assignment.registries), 3)
	// A target keeps its registrar if no other registry is nearer.
	for _, id := range []ids.DaemonID{"f", "g", "h"} {
		is.Equal(r.registrarFor(r.now, targetWithRegistrar(1, 1, id)).ID, id)
	}
}
