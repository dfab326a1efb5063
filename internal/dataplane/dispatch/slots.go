package dispatch

import (
	"math"
	"time"

	"dunlinwell/internal/base/ids"
)

// minWarmth is the share of its capacity that a target gets as it comes back.
const minWarmth = 0.2

// slotShare is how many requests this proxy may have at a target at once. The
// seats' shares add up to the whole exactly, so the fleet's sum can't pass it.
func (d *Dispatcher) slotShare(now ids.Time, allocation Allocation) int {
	capacity := float64(allocation.Capacity)
	if capacity == 0 {
		capacity = float64(d.service.DefaultCapacity)
	}
	warmth := allocation.Warmth
	if d.service.SlowStartDuration > 0 {
		// Back from a restart it starts cold and ramps, whatever it says.
		age := time.Duration(allocation.AgeMillis)*time.Millisecond + now.Sub(allocation.AgeMeasuredAt)
		warmth = min(warmth, max(minWarmth, float64(age)/float64(d.service.SlowStartDuration)))
	}
	slots := int(math.Max(1, capacity*warmth)) * max(allocation.Oversubscription, 1)
	shares := max(allocation.SlotShareCount, 1)
	return slots*(allocation.SlotShareIndex+1)/shares - slots*allocation.SlotShareIndex/shares
}

// isAvailable tells whether new work may go to a target at all.
func (d *Dispatcher) isAvailable(e *endpoint) bool {
	return !e.removed && e.Usable() && !e.ZoneDrained
}

// totalSlots counts what the fit targets could bear from this proxy.
func (d *Dispatcher) totalSlots(now ids.Time) int {
	total := 0
	for _, e := range d.sortedEndpoints {
		if d.isAvailable(e) && (now >= e.SlowStartUntil || e.SlowStartRate > 0) {
			total += d.slotShare(now, e.Allocation)
		}
	}
	return total
}
