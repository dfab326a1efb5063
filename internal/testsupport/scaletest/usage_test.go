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
	a := &measurement{at: from, processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 5, traffic: map[trafficKey]traffic{push: {100, 1000}}},
		"b": {pid: 2, daemons: 2, cpuSeconds: 9, traffic: map[trafficKey]traffic{push: {900, 9000}}},
	}}
	b := &measurement{at: from.Add(10 * time.Second), processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 6, residentBytes: 8e6, traffic: map[trafficKey]traffic{push: {200, 3000}, {"lost", "x"}: {3, 30}}},
		"b": {pid: 3, daemons: 2, cpuSeconds: 2, residentBytes: 4e6, traffic: map[trafficKey]traffic{push: {100, 2000}, {"received", "x"}: {1, 400}}},
	}}
	s := usageBetween("proxy", a, b)
	is.Equal(s.Daemons, 4)
	is.True(almostEqual(s.CPUPercent, 7.5))
	is.True(almostEqual(s.BusiestProcessCPUPercent, 20))
	is.True(almostEqual(s.MemoryMB, 3))
	is.True(almostEqual(s.SentBytesPerSecond, 100))
	is.True(almostEqual(s.ReceivedBytesPerSecond, 10))
	is.True(almostEqual(s.ControlBytesPerSecond(), 110))
	is.True(almostEqual(s.SentMessagesPerSecond, 5))
	is.True(almostEqual(s.LostMessages, 3))
	is.Equal(len(s.Kinds), 1)
	is.True(almostEqual(s.Kinds[0].BytesPerMessage, 20))
}
