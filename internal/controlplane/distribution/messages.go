package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// Push carries configuration and targets to one proxy. Its parts merge item by item,
// so a lost push costs no more than sending it again. The order of the fields is the
// order on the wire.
type Push struct {
	// Number is one higher than that of the previous push to the same proxy.
	Number ids.StreamNumber
	// Epoch is 0: every registry pushes, under no election term.
	Epoch ids.Epoch
	// RunID is the run of the registry.
	RunID ids.RunID
	// Revision is the newest configuration that the registry has, whether or not the
	// push carries it.
	Revision ids.Revision
	// Configuration leads from the proxy's revision to Revision; empty if it is not
	// sent this time.
	Configuration []byte
	// Targets are the targets that the proxy lacks.
	Targets []targets.Target
	// ReadAgeMillis is how long ago, in milliseconds, the registry began its last read
	// of the configuration from a majority of stores.
	ReadAgeMillis uint32
	// EchoedTime is the proxy's own clock as its last acknowledgement gave it, or 0.
	// The push was sent after that time, however long it was on its way.
	EchoedTime ids.Time
	// ProxyRunID is the run of the proxy whose clock EchoedTime is.
	ProxyRunID ids.RunID
}

// MessageEpoch returns the epoch for the frame's header.
func (p Push) MessageEpoch() uint64 { return uint64(p.Epoch) }

// MessageNumber returns the number of the push for the frame's header.
func (p Push) MessageNumber() uint64 { return uint64(p.Number) }

// Ack is a proxy's acknowledgement that it has applied the push of a number.
type Ack struct {
	Proxy ids.DaemonID
	// RunID is the run of the proxy.
	RunID  ids.RunID
	Number ids.StreamNumber
	// Revision is the configuration that the proxy has applied.
	Revision ids.Revision
	// Now is the proxy's own clock, which the next push echoes.
	Now ids.Time
	// TargetsDigest is the digest of the targets that the proxy has, whichever
	// registry it has them from (targets.Table.ProxyDigest).
	TargetsDigest uint64
}

// MessageNumber returns the acknowledged number for the frame's header.
func (a Ack) MessageNumber() uint64 { return uint64(a.Number) }

var _ = wire.Register(80, Push{}) && wire.Register(81, Ack{})

// maxReadAgeMillis bounds ReadAgeMillis, so that one millisecond can be added to it.
const maxReadAgeMillis = 1 << 30

// readAgeMillis returns an age as a push carries it.
func readAgeMillis(age time.Duration) uint32 {
	return uint32(min(age/time.Millisecond, maxReadAgeMillis))
}
