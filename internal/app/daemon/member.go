package daemon

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
)

// NewMember describes this process for the membership list. Its incarnation starts
// at the wall clock in milliseconds; where that clock went back, refuting the older
// entry raises it.
func NewMember(options settings.Common, role membership.Role) membership.Member {
	return membership.Member{
		ID: ids.DaemonID(options.Name), Role: role, Address: ids.Address(options.Address),
		HTTPAddress: ids.Address(options.HTTPAddress), Zone: ids.Name(options.Zone), RunID: newRunID(),
		Incarnation: ids.Incarnation(time.Now().UnixMilli()),
	}
}

// newRunID gives a random run id, never zero. It has 40 bits, which readers of JSON
// that hold numbers as floating point keep exact.
func newRunID() ids.RunID { return ids.RunID(rand.Uint64()>>24 | 1) }

// newRandom gives a source that is seeded at random.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// RegistryAddresses lists the HTTP addresses of the live registries, those of a zone
// first.
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
