package simulator

import (
	"io"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Options are the options of a run. Zero values take the defaults of fill.
type Options struct {
	Seed uint64
	Plan blueprint.Plan
	// Length is the virtual time until all faults end; 60 s by default.
	Length time.Duration
	// Rate is the load in requests a second; that of the plan by default.
	Rate float64
	// FaultEvery is the mean time between random faults, 1.5 s by default. If it
	// is negative there are neither random faults nor operators.
	FaultEvery time.Duration
	// PlanEvery is how often the spill-over is planned; 10 s by default.
	PlanEvery time.Duration
	// Cost is what a request costs, in milliseconds of CPU; 20 by default.
	Cost float64
	// Hot, if set, chooses the zone of a request's client; drawn is the usual one.
	Hot func(w *World, drawn ids.Name) ids.Name
	// Lease, if set, replaces the duration of the proxies' serving lease.
	Lease time.Duration
	// HoldConnectionsFor is the mean time for which clients keep a connection.
	// By default it is 8 s if there are random faults, and else zero: they keep none.
	HoldConnectionsFor time.Duration
	// BriefConnectionShare is the share of requests whose clients keep none all the same.
	BriefConnectionShare float64
	// Latency, if set, gives the latency that a proxy measures by its usage of CPU,
	// in milliseconds a second.
	Latency func(used float64) time.Duration
	// Script, if set, schedules faults in place of the random ones.
	Script func(w *World)
	// EagerLosses lets the next core machine be lost once the core has been calm
	// for a while, whether or not the last loss is repaired.
	EagerLosses bool
	// KeepLog keeps the log in Outcome.Log.
	KeepLog bool
	// StaleBootstrap leaves the setting for the first start on for every start.
	StaleBootstrap bool
	// Replicas is the number of stores; 3 by default.
	Replicas int
	// DiskSync, if set, is how long each sync of a disk takes.
	DiskSync time.Duration
	// LinkBits, if set, is how many bits a second a store can send, and receive.
	LinkBits float64
	// Traces, if set, takes the recorded traces of processes, until TraceFor.
	Traces   map[string]io.Writer
	TraceFor time.Duration
	Defect   Defect
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
	// Half of the clients keep their connections, whatever faults do to the proxies.
	if o.HoldConnectionsFor == 0 && o.FaultEvery > 0 {
		o.HoldConnectionsFor, o.BriefConnectionShare = 8*time.Second, 0.5
	}
	if o.Cost == 0 {
		o.Cost = 20
	}
}
