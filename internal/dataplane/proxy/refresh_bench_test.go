package proxy

import (
	"slices"
	"testing"

	"dunlinwell/internal/base/ids"
)

// BenchmarkRefresh_OneTargetChanged measures a refresh in a large cluster after the change of one
// target.
func BenchmarkRefresh_OneTargetChanged(b *testing.B) {
	f := newLargeClusterFixture(b)
	holders := f.slotHolders(f.now)
	sequence := ids.Sequence(2)
	for b.Loop() {
		target := largeClusterTarget(0)
		target.Sequence, target.Occupancy = sequence, int64(sequence)
		sequence++
		f.targets.Merge(f.now, target)
		f.allocations(f.now, holders)
	}
}

// BenchmarkRefresh_ProxyJoined measures two refreshes in a large cluster, with an additional proxy
// and without it.
func BenchmarkRefresh_ProxyJoined(b *testing.B) {
	f := newLargeClusterFixture(b)
	holders := f.slotHolders(f.now)
	joined := append(slices.Clone(holders), proxyMember("joined", "quay"))
	for b.Loop() {
		f.allocations(f.now, joined)
		f.allocations(f.now, holders)
	}
}
