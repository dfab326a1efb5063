package scaletest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUsageBetween_CountsRestartedProcessFromItsStart(t *testing.T) {
	is := is.New(t)
	from := time.Unix(100, 0)
	push := trafficKey{"sent", "distribution.Push"}
	before := &measurement{at: from, processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 5, traffic: map[trafficKey]traffic{push: {100, 1000}}},
		"b": {pid: 2, daemons: 2, cpuSeconds: 9, traffic: map[trafficKey]traffic{push: {900, 9000}}},
	}}
	after := &measurement{at: from.Add(10 * time.Second), processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 6, residentBytes: 8e6, traffic: map[trafficKey]traffic{push: {200, 3000}, {"lost", "x"}: {3, 30}}},
		"b": {pid: 3, daemons: 2, cpuSeconds: 2, residentBytes: 4e6, traffic: map[trafficKey]traffic{push: {100, 2000}, {"received", "x"}: {1, 400}}},
	}}
	usage := usageBetween("proxy", before, after)
	is.Equal(usage.Daemons, 4)
	is.True(almostEqual(usage.CPUPercent, 7.5))
	is.True(almostEqual(usage.BusiestProcessCPUPercent, 20))
	is.True(almostEqual(usage.MemoryMB, 3))
	is.True(almostEqual(usage.SentBytesPerSecond, 100))
	is.True(almostEqual(usage.ReceivedBytesPerSecond, 10))
	is.True(almostEqual(usage.ControlBytesPerSecond(), 110))
	is.True(almostEqual(usage.SentMessagesPerSecond, 5))
	is.True(almostEqual(usage.LostMessages, 3))
	is.Equal(len(usage.Kinds), 1)
	is.True(almostEqual(usage.Kinds[0].BytesPerMessage, 20))
}
