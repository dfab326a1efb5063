package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// at returns the time at an offset from the start of the test.
func at(d time.Duration) ids.Time { return ids.Time(d) + 1 }

// newTarget returns a target with a heartbeat interval of one second.
func newTarget(id ids.InstanceID, inc ids.Incarnation, seq ids.Sequence) Target {
	return Target{Instance: id, Incarnation: inc, Sequence: seq, Service: "s", Address: ids.Address("10.0.0.1:" + string(id)), IntervalMillis: 1000, Warmth: 1}
}

// newIncrementalTable returns a table whose Merge only returns changes.
func newIncrementalTable() *Table {
	table := New()
	table.Incremental = true
	return table
}

// withSlowStart returns the target with the given remaining time of slow start.
func withSlowStart(t Target, remaining time.Duration) Target {
	t.SlowStartMillis = uint64(remaining / time.Millisecond)
	return t
}

// registeredTarget returns a target that sent its heartbeat to a registry.
func registeredTarget(id ids.InstanceID, seq ids.Sequence, by ids.DaemonID) Target {
	t := newTarget(id, 1, seq)
	t.Registrar, t.RegistrarRunID = by, 1
	return t
}
