package daemon

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
)

// NewMember returns the membership entry of this process. Its incarnation starts at the wall
// clock in milliseconds. If the clock was set back since the last run, the process raises
// its incarnation when it refutes the older entry.
func NewMember(options settings.Common, role membership.Role) membership.Member {
	return membership.Member{
		ID: ids.DaemonID(options.Name), Role: role, Address: ids.Address(options.Address),
		HTTPAddress: ids.Address(options.HTTPAddress), Zone: ids.Name(options.Zone), RunID: newRunID(),
		Incarnation: ids.Incarnation(time.Now().UnixMilli()),
	}
}

// newRunID returns a random nonzero run ID. It has 40 bits, so that JSON decoders that use
// floating-point numbers represent it exactly.
func newRunID() ids.RunID { return ids.RunID(rand.Uint64()>>24 | 1) }

// newRandom returns a randomly seeded source.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// RegistryAddresses returns the HTTP addresses of the live registries, those in zone first.
func RegistryAddresses(members []membership.Member, zone ids.Name) []ids.Address {
	var near, far []ids.Address
	for _, m := range members {
		switch {
		case m.Role != membership.Registry || m.Dead:
		case m.Zone == zone:
			near = append(near, m.HTTPAddress)
		default:
			far = append(far, m.HTTPAddress)
		}
	}
	return append(near, far...)
}
