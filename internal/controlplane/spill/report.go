package spill

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Report is what a proxy tells of its CPU time, every few seconds.
type Report struct {
	Proxy          ids.DaemonID
	RunID          ids.RunID
	Zone           ids.Name
	Number         ids.StreamNumber
	IntervalMillis uint32
	Usage          []ServiceUsage
	// LatencyMicros is the 95th percentile of the proxy's own time for a request,
	// queue and handling without the target's, in microseconds.
	LatencyMicros uint64
	RequestCount  uint64
}

var _ = wire.Register(91, Report{})

// MessageNumber gives the report's number.
func (r Report) MessageNumber() uint64 { return uint64(r.Number) }

// ServiceUsage is CPU time by route and service in ms a second.
type ServiceUsage struct {
	Route   ids.Name
	Service ids.Name
	CPU     float64
}
