package membership

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

const largeFleet = 90

// sawtoothDelay is the queue of a thin link that fills up and drains again. No queue
// is full from one moment to the next.
func (f *fleet) sawtoothDelay(depth, period time.Duration, phase float64) func() time.Duration {
	begun := f.now
	return func() time.Duration {
		_, x := math.Modf(float64(f.now)/float64(period) + phase)
		return min(time.Duration(x*float64(depth)), f.now.Sub(begun)/4)
	}
}

// allAlive tells whether all registries hold all who run for living.
func (f *fleet) allAlive() bool {
	for _, n := range f.nodes {
		if n.list.Self.Role == Registry && !n.down && len(n.list.liveMembers()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// injectFaults starves a third of the proxies, fills the links of half of them and
// loses messages; nobody dies.
func (f *fleet) injectFaults() {
	f.loss = 0.03
	for i, n := range f.nodes {
		if n.list.Self.Role != Proxy {
			continue
		}
		if i%3 == 0 {
			n.maxTickDelay = 700 * time.Millisecond
		}
		if i%2 == 0 {
			n.linkDelay = f.sawtoothDelay(700*time.Millisecond, 5*time.Second, f.random.Float64())
		}
	}
}

func (f *fleet) clearFaults() {
	f.loss, f.cut = 0, nil
	for _, n := range f.nodes {
		n.maxTickDelay = 0
		n.linkDelay = func() time.Duration { return 0 }
	}
}

// Slow processes, full links and lost messages aren't deaths. Verdicts by one
// vote of one watcher, the others being in doubt, made them so by the hundred.
func TestFailureDetector_SlowAndLossyMembersStayAlive(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		is := is.New(t)
		f := newFleet(seed, largeFleet)
		f.advance(4 * time.Second)
		is.True(f.allAlive())
		is.Equal(len(f.declarations), 0)
		f.injectFaults()
		f.advance(20 * time.Second)
		total := 0
		for _, n := range f.declarations {
			total += n
		}
		if total > 0 {
			t.Errorf("seed %d: %d verdicts against %d members, none of whom was dead", seed, total, len(f.declarations))
		}
		f.clearFaults()
		f.advance(3 * time.Second)
		is.True(f.allAlive())
	}
}

// After a loss of all power everybody starts at once, and links are full of what
// they tell one another: nobody is dead.
func TestFailureDetector_SimultaneousStartDeclaresNobodyDead(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleet(seed, largeFleet)
		for i, n := range f.nodes {
			if n.list.Self.Role == Proxy && i%3 != 0 {
				n.maxTickDelay = 300 * time.Millisecond
				n.linkDelay = func() time.Duration {
					since := time.Duration(f.now)
					return max(0, min(since*2/5, 1200*time.Millisecond-since/6))
				}
			}
		}
		f.advance(10 * time.Second)
		if len(f.declarations) > 0 {
			t.Errorf("seed %d: verdicts against %d members", seed, len(f.declarations))
		}
	}
}

// Two cuts of the core in a row, the second two seconds after the first, harm
// nobody but, for a while, the machine that is cut off.
func TestFailureDetector_RepeatedPartitionsDeclareOnlyIsolatedMembersDead(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, largeFleet)
	core := func(at ids.Address) bool { return f.byAddress[at].list.Self.Role != Proxy }
	lost := func(at ids.Address) bool { return at == "machine-0-registry" || at == "machine-0-store" }
	f.advance(4 * time.Second)
	f.injectFaults()
	since := f.now
	f.byAddress["machine-0-registry"].list.MayDeclareDead = func(now ids.Time) bool { return f.cut == nil || now.Sub(since) < 1500*time.Millisecond }
	f.cut = func(from, to ids.Address) bool { return core(from) && core(to) && lost(from) != lost(to) }
	f.advance(20 * time.Second)
	f.cut = nil
	f.advance(2 * time.Second)
	since = f.now
	f.cut = func(from, to ids.Address) bool { return core(from) && core(to) && lost(to) && !lost(from) }
	f.advance(4 * time.Second)
	for who := range f.declarations {
		is.True(lost(ids.Address(who))) // a verdict against one that isn't cut off
	}
	f.clearFaults()
	f.advance(4 * time.Second)
	is.True(f.allAlive())
}

// isDeclaredDead tells whether all registries that run hold a member for gone.
func (f *fleet) isDeclaredDead(id ids.DaemonID) bool {
	for _, n := range f.nodes {
		if n.list.Self.Role != Registry || n.down {
			continue
		}
		if m, ok := n.list.Get(id); !ok || !m.Gone {
			return false
		}
	}
	return true
}

// A proxy that is killed is found dead about as soon as ever: in 1.6 s, of which
// 1.2 s are the silence that raises suspicion.
func TestFailureDetector_KilledProxyIsDeclaredDeadInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, largeFleet)
	f.advance(6 * time.Second)
	var sum, most time.Duration
	const kills = 20
	for i := range kills {
		n := f.nodes[10+i*4]
		f.advance(time.Duration(f.random.Int64N(int64(400 * time.Millisecond))))
		n.down = true
		from := f.now
		for !f.isDeclaredDead(n.list.Self.ID) && f.now.Sub(from) < 10*time.Second {
			f.advance(10 * time.Millisecond)
		}
		took := f.now.Sub(from)
		sum, most = sum+took, max(most, took)
	}
	t.Logf("found dead after %s on average, %s at most", sum/kills, most)
	is.True(sum/kills <= 1700*time.Millisecond)
	is.True(most <= 2*time.Second)
	is.Equal(len(f.declarations), kills)
}

// A zone goes at once, and with it the watchers of some of its members: none of
// their votes is there to be had, and all the same the zone is found dead.
func TestFailureDetector_WholeZoneIsDeclaredDead(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		for _, proxies := range []int{largeFleet, 8} {
			is := is.New(t)
			f := newFleet(seed, proxies)
			f.advance(6 * time.Second)
			var dead []ids.DaemonID
			for _, n := range f.nodes {
				// Of the small fleet, a region: three zones of nine.
				if n.list.Self.Zone == "z0" || proxies < largeFleet && (n.list.Self.Zone == "z1" || n.list.Self.Zone == "z5") {
					n.down = true
					dead = append(dead, n.list.Self.ID)
				}
			}
			from := f.now
			left := func() int {
				n := 0
				for _, id := range dead {
					if !f.isDeclaredDead(id) {
						n++
					}
				}
				return n
			}
			for left() > 0 && f.now.Sub(from) < 10*time.Second {
				f.advance(10 * time.Millisecond)
			}
			t.Logf("seed %d: %d members found dead after %s", seed, len(dead), f.now.Sub(from))
			is.True(f.now.Sub(from) <= 3*time.Second)
			f.advance(5 * time.Second)
			is.Equal(len(f.declarations), len(dead))
		}
	}
}
