package proxy

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// maxReportRecipients is the number of registries that receive the usage reports with
// SlotLayout.ByZone: the one that plans the spill-over, and its successor.
const maxReportRecipients = 2

// reportUsage sends a usage sample to the registries.
func (c *Control) reportUsage(sample UsageSample) {
	c.reportNumber++
	report := spill.Report{
		Proxy: c.Self.ID, RunID: c.Self.RunID, Zone: c.Self.Zone, Number: c.reportNumber,
		IntervalMillis: uint32(sample.Interval / time.Millisecond), Usage: sample.Rows,
		LatencyMicros: uint64(sample.LatencyP95 / time.Microsecond), RequestCount: sample.Requests,
	}
	registries := c.Live(membership.Registry)
	if c.ByZone && len(registries) > maxReportRecipients {
		registries = registries[:maxReportRecipients]
	}
	for _, registry := range registries {
		c.Send(registry.Address, report)
	}
}
