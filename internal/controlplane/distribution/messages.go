package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// Push carries configuration and targets to one proxy. It is merged item by item, so that a lost
// push only has to be sent again. The order of the fields is the order on the wire.
type Push struct {
	// Number is one higher than that of the previous push to the same proxy.
	Number ids.StreamNumber
	// Epoch is always 0: every registry pushes, without leader election.
	Epoch ids.Epoch
	// RunID is the run of the registry.
	RunID ids.RunID
	// Revision is the newest configuration that the registry has, whether or not this push
	// carries it.
	Revision ids.Revision
	// Configuration is the encoded update from the proxy's revision to Revision; empty if this
	// push doesn't carry it.
	Configuration []byte
	// Targets are the targets that the proxy lacks.
	Targets []targets.Target
	// ReadAgeMillis is the time, in milliseconds, since the registry began its last read of the
	// configuration from a majority of stores.
	ReadAgeMillis uint32
	// EchoedTime is the time in the proxy's latest acknowledgement, by the proxy's own clock, or
	// 0. The push was sent after that time, regardless of the network delay.
	EchoedTime ids.Time
	// ProxyRunID is the run of the proxy that EchoedTime belongs to.
	ProxyRunID ids.RunID
}

// MessageEpoch returns the epoch for the frame header.
func (p Push) MessageEpoch() uint64 { return uint64(p.Epoch) }

// MessageNumber returns the number of the push for the frame header.
func (p Push) MessageNumber() uint64 { return uint64(p.Number) }

// Ack is a proxy's acknowledgement that it has applied the push with a number.
type Ack struct {
	Proxy ids.DaemonID
	// RunID is the run of the proxy.
	RunID  ids.RunID
	Number ids.StreamNumber
	// Revision is the configuration that the proxy has applied.
	Revision ids.Revision
	// Now is the time by the proxy's own clock, which the next push echoes.
	Now ids.Time
	// TargetsDigest is the digest of the targets that the proxy has from all registries
	// (targets.Table.ProxyDigest).
	TargetsDigest uint64
}

// MessageNumber returns the acknowledged number for the frame header.
func (a Ack) MessageNumber() uint64 { return uint64(a.Number) }

var _ = wire.Register(80, Push{}) && wire.Register(81, Ack{})

// maxReadAgeMillis bounds ReadAgeMillis, so that rounding it up can't overflow.
const maxReadAgeMillis = 1 << 30

// readAgeMillis converts an age to the value of Push.ReadAgeMillis.
func readAgeMillis(age time.Duration) uint32 {
	return uint32(min(age/time.Millisecond, maxReadAgeMillis))
}
