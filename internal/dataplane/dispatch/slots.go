package dispatch

import (
	"math"
	"time"

	"dunlinwell/internal/base/ids"
)

// minWarmth is the lower bound of the warmth derived from a target's age, as a fraction of its
// capacity. A target may report a lower warmth.
const minWarmth = 0.2

// slotShare returns how many requests this proxy may have in flight at a target. The shares
// of the proxies that divide the target's slots add up to exactly these slots, times its
// oversubscription.
func (d *Dispatcher) slotShare(now ids.Time, allocation Allocation) int {
	capacity := float64(allocation.Capacity)
	if capacity == 0 {
		capacity = float64(d.service.DefaultCapacity)
	}
	warmth := allocation.Warmth
	if d.service.SlowStartDuration > 0 {
		// A restarted target ramps up even if it reports full warmth.
		age := time.Duration(allocation.AgeMillis)*time.Millisecond + now.Sub(allocation.AgeMeasuredAt)
		warmth = min(warmth, max(minWarmth, float64(age)/float64(d.service.SlowStartDuration)))
	}
	slots := int(math.Max(1, capacity*warmth)) * max(allocation.Oversubscription, 1)
	shares := max(allocation.SlotShareCount, 1)
	return slots*(allocation.SlotShareIndex+1)/shares - slots*allocation.SlotShareIndex/shares
}

// totalSlots returns the number of this proxy's slots at all available targets, free or in use.
func (d *Dispatcher) totalSlots(now ids.Time) int {
	total := 0
	for _, e := range d.sortedEndpoints {
		if e.isAvailable() && (now >= e.SlowStartUntil || e.SlowStartRate > 0) {
			total += d.slotShare(now, e.Allocation)
		}
	}
	return total
}
