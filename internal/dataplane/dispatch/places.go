package dispatch

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// Stock is what a dispatcher has to hand: an event of its own, sent whole whenever
// targets, policy or the number of proxies change.
type Stock struct {
	Targets  []Offer
	Capacity int
	Warm     time.Duration
	// Allowance is this proxy's share of the retry allowance.
	Allowance float64
	// InStep: the proxy goes by what is in force, as far as it can know.
	InStep bool
	// Closed: the proxy's own cell has been emptied for some seconds.
	Closed bool
	// Lease is until when requests may leave by all this.
	Lease ids.Time
	// Terms are those in force, by route.
	Terms map[ids.Name]Terms
	// Ended tells whether a run of a proxy is over.
	Ended func(ids.Daemon, ids.RunID) bool `json:"-"`
}

// Offer is a target as it is offered to this proxy.
type Offer struct {
	targets.Target
	// At is when Age was right.
	At ids.Time
	// LiveProxy is this proxy's place among the Seats that share the target.
	Seat, Seats int
	Distance    float64
	Emptied     bool
	// Over is how many times the target's places are given out among the seats:
	// its own small inbox takes what comes at the same time. 0 is once.
	Over int
	// Region is where the target stands.
	Region ids.Name
	// ColdUntil and Rate bound a cold target: until then it gets Rate requests a
	// second from this proxy, and none where that is 0.
	ColdUntil ids.Time
	Rate      float64
}

func (d *Dispatcher) restock(now ids.Time, s Stock) {
	d.stock, d.lease = s, s.Lease
	d.budget.depth = s.Allowance
	seen := map[ids.Instance]bool{}
	for _, o := range s.Targets {
		seen[o.Instance] = true
		sp := d.spots[o.Instance]
		if sp == nil {
			sp = &spot{}
			d.spots[o.Instance] = sp
		}
		sp.Offer, sp.out = o, false
	}
	for id, sp := range d.spots {
		if !seen[id] {
			sp.out = true
			if sp.busy <= 0 {
				delete(d.spots, id)
			}
		}
	}
	// The order of instances, so that one seed is one run.
	d.list = d.list[:0]
	for _, id := range slices.Sorted(maps.Keys(d.spots)) {
		d.list = append(d.list, d.spots[id])
	}
	d.drain(now)
}

// coldest is the share of its capacity that a target gets as it comes back.
const coldest = 0.2

// budget bounds retries. A bucket rather than a sliding window: over any span
// at all, retries are at most a fifth of the first requests plus the depth,
// while a window counted back from each retry lets a later span pass that.
// It starts empty, so a restarted proxy has no allowance to begin with.
type budget struct {
	depth  float64
	tokens float64
}

// retryShare is a little under one in five: what leaves here within ten seconds
// may reach targets within nine, if this process is held up just then.
const retryShare = 0.18

func (b *budget) earn() { b.tokens = min(b.depth, b.tokens+retryShare) }

// unearn takes a share back for a request that didn't leave after all; what
// was spent of it meanwhile becomes a debt.
func (b *budget) unearn() { b.tokens -= retryShare }

func (b *budget) spend() bool {
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
