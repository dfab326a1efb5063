package simulator

import (
	"io"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Options are the options of a run. Zero values are replaced by defaults.
type Options struct {
	Seed uint64
	Plan blueprint.Plan
	// Length is the virtual time until all faults end; 60 s by default.
	Length time.Duration
	// Rate is the load in requests per second; the plan's by default.
	Rate float64
	// FaultEvery is the mean time between random faults, 1.5 s by default. If it
	// is negative there are neither random faults nor operators.
	FaultEvery time.Duration
	// PlanEvery is the interval between spill-over plans; 10 s by default.
	PlanEvery time.Duration
	// RequestCPUMillis is the CPU time of a request in milliseconds; 20 by default.
	RequestCPUMillis float64
	// ClientZone, if set, chooses the zone of a request's client; drawn is the zone that the plan's
	// distribution yielded.
	ClientZone func(w *World, drawn ids.Name) ids.Name
	// Lease, if set, is the duration of the proxies' serving lease.
	Lease time.Duration
	// ConnectionLifetime is the mean lifetime of the clients' long-lived connections. The default
	// is 8 s with random faults and zero, which means that clients keep none, without.
	ConnectionLifetime time.Duration
	// ShortConnectionShare is the share of requests whose clients keep no connection even so.
	ShortConnectionShare float64
	// LatencyAtUsage, if set, returns the p95 latency that a proxy measures at a CPU usage in
	// milliseconds per second.
	LatencyAtUsage func(used float64) time.Duration
	// Script, if set, schedules faults instead of the random ones.
	Script func(w *World)
	// EagerLosses permits the loss of the next core machine once the core has been unimpaired for a
	// while, even if the last loss is not repaired yet.
	EagerLosses bool
	// KeepLog keeps the log in Outcome.Log.
	KeepLog bool
	// StaleBootstrap leaves the bootstrap setting on after the first start.
	StaleBootstrap bool
	// Replicas is the number of stores; 3 by default.
	Replicas int
	// DiskSyncTime, if set, is the duration of each disk sync.
	DiskSyncTime time.Duration
	// LinkBitsPerSecond, if set, is the bandwidth of each store in either direction, for traffic
	// between stores.
	LinkBitsPerSecond float64
	// Traces, if set, holds writers for the recorded traces of processes, by name. Recording ends
	// at the virtual time TraceUntil.
	Traces     map[string]io.Writer
	TraceUntil time.Duration
	Defect     Defect
}

// fill sets the defaults.
func (o *Options) fill() {
	if o.Plan.Name == "" {
		o.Plan = blueprint.Plans["small"]
	}
	if o.Length == 0 {
		o.Length = 60 * time.Second
	}
	if o.Rate == 0 {
		o.Rate = o.Plan.Rate
	}
	if o.FaultEvery == 0 {
		o.FaultEvery = 1500 * time.Millisecond
	}
	if o.PlanEvery == 0 {
		o.PlanEvery = 10 * time.Second
	}
	// Half of the clients keep their connections despite faults of the proxies.
	if o.ConnectionLifetime == 0 && o.FaultEvery > 0 {
		o.ConnectionLifetime, o.ShortConnectionShare = 8*time.Second, 0.5
	}
	if o.RequestCPUMillis == 0 {
		o.RequestCPUMillis = 20
	}
}
