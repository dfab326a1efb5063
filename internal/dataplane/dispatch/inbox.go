package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

func (d *Dispatcher) order() []ids.Request { return slices.Sorted(maps.Keys(d.jobs)) }

// before orders the inbox: the most urgent first, of those the ones that can
// still meet their goal, then the least time left.
func before(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Tier, b.Tier), late(a)-late(b), cmp.Compare(a.Due, b.Due), cmp.Compare(a.ID, b.ID))
}

// admit finds the job a place, or puts it into the short inbox. What can't
// make it is declined now, not when its time is nearly over.
func (d *Dispatcher) admit(now ids.Time, j *job) {
	if why := d.withheld(now, j); why != "" {
		d.decline(now, j, why)
		return
	}
	j.phase = inInbox
	// One that comes back from a target has waited before.
	if j.since == 0 {
		j.since = now
	}
	at, _ := slices.BinarySearchFunc(d.inbox, j, before)
	d.inbox = slices.Insert(d.inbox, at, j)
	d.drain(now)
	if j.phase != inInbox || d.jobs[j.ID] != j {
		return
	}
	why := d.hopeless(now, j, slices.Index(d.inbox, j), d.places(now))
	switch {
	case why != "":
		d.withdraw(j)
		d.decline(now, j, why)
	case len(d.inbox) > d.Inbox:
		// The least urgent makes room.
		last := d.inbox[len(d.inbox)-1]
		d.withdraw(last)
		d.decline(now, last, "too much work")
	}
}

// longest is how long a request may expect to wait in the inbox, where its
// route names no goal.
const longest = time.Second

// patience is how long a request may wait in the inbox. A quarter of the goal
// leaves its consumer time for another try that is still worth most.
func (j *job) patience() time.Duration {
	if j.Goal == 0 || j.late {
		return longest
	}
	return min(j.Goal/4, longest)
}

// hopeless tells why a request at a place in the inbox won't make it, if so.
func (d *Dispatcher) hopeless(now ids.Time, j *job, at, places int) string {
	wait := time.Duration(at+1) * d.mean / time.Duration(max(places, 1))
	switch {
	case places == 0:
		return "no target takes work now"
	// However short the way looks: more urgent ones may keep overtaking it.
	case wait > j.patience() || now.Since(j.since) > j.patience() || now.Add(wait+d.mean) > j.Due:
		return "no place in the time left"
	}
	return ""
}

// review gives up at once what can't make it any more, say because targets
// went; nobody is held until near the deadline.
func (d *Dispatcher) review(now ids.Time) {
	if len(d.inbox) == 0 {
		return
	}
	places, at := d.places(now), 0
	for _, j := range slices.Clone(d.inbox) {
		why := d.withheld(now, j)
		if why == "" {
			why = d.hopeless(now, j, at, places)
		}
		if why == "" {
			at++
			continue
		}
		d.withdraw(j)
		d.decline(now, j, why)
	}
}

func (d *Dispatcher) withdraw(j *job) {
	if at := slices.Index(d.inbox, j); at >= 0 {
		d.inbox = slices.Delete(d.inbox, at, at+1)
	}
}

// drain gives places to those that wait, the first in order first.
func (d *Dispatcher) drain(now ids.Time) {
	if d.paused(now) || now >= d.lease {
		return
	}
	for i := 0; i < len(d.inbox); {
		j := d.inbox[i]
		if why := d.withheld(now, j); why != "" {
			d.withdraw(j)
			d.decline(now, j, why)
			continue
		}
		s := d.pick(now, j)
		if s == nil {
			// Others of this inbox may still find a place that j avoids, or that
			// isn't among its homes, or that it has not waited long enough for.
			if len(j.avoid) == 0 && len(j.Homes) == 0 && j.Goal == 0 {
				return
			}
			i++
			continue
		}
		d.withdraw(j)
		j.target = s.Instance
		s.take(now)
		d.placed(now, j)
	}
}

// placed goes on with a job that holds a place.
func (d *Dispatcher) placed(now ids.Time, j *job) {
	switch {
	case !j.marked():
		d.ferry(now, j)
	default:
		// After a place that came to nothing the claim may stand, but is asked
		// for again, as a barring may have come between.
		j.claimed = true
		d.wish(now, j, idempotency.OpClaim, claiming, 2*time.Second)
	}
}

// free gives a job's place back.
func (d *Dispatcher) free(now ids.Time, j *job) {
	if s := d.spots[j.target]; s != nil && j.target != "" {
		s.busy--
		s.turn = now
		if s.out && s.busy <= 0 {
			delete(d.spots, j.target)
		}
	}
	j.target = ""
}
