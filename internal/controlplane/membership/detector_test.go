package membership

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

const grownProxies = 90

// sawtooth is the queue of a thin link that fills up and drains again. No queue
// is full from one moment to the next.
func (f *fleet) sawtooth(depth, period time.Duration, phase float64) func() time.Duration {
	begun := f.now
	return func() time.Duration {
		_, x := math.Modf(float64(f.now)/float64(period) + phase)
		return min(time.Duration(x*float64(depth)), f.now.Since(begun)/4)
	}
}

// everybodyStands tells whether all registries hold all who run for living.
func (f *fleet) everybodyStands() bool {
	for _, n := range f.nodes {
		if n.list.Self.Role == Registry && !n.down && len(n.list.livingMembers()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// trouble starves a third of the proxies, fills the links of half of them and
// loses messages; nobody dies.
func (f *fleet) trouble() {
	f.loss = 0.03
	for i, n := range f.nodes {
		if n.list.Self.Role != Proxy {
			continue
		}
		if i%3 == 0 {
			n.starved = 700 * time.Millisecond
		}
		if i%2 == 0 {
			n.delay = f.sawtooth(700*time.Millisecond, 5*time.Second, f.dice.Float64())
		}
	}
}

func (f *fleet) calm() {
	f.loss, f.cut = 0, nil
	for _, n := range f.nodes {
		n.starved = 0
		n.delay = func() time.Duration { return 0 }
	}
}

// Slow processes, full links and lost messages aren't deaths. Verdicts by one
// vote of one watcher, the others being in doubt, made them so by the hundred.
func TestTroubleIsNotDeath(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		is := is.New(t)
		f := newFleet(seed, grownProxies)
		f.pass(4 * time.Second)
		is.True(f.everybodyStands())
		is.Equal(len(f.verdicts), 0)
		f.trouble()
		f.pass(20 * time.Second)
		total := 0
		for _, n := range f.verdicts {
			total += n
		}
		if total > 0 {
			t.Errorf("seed %d: %d verdicts against %d members, none of whom was dead", seed, total, len(f.verdicts))
		}
		f.calm()
		f.pass(3 * time.Second)
		is.True(f.everybodyStands())
	}
}

// After a loss of all power everybody starts at once, and links are full of what
// they tell one another: nobody is dead.
func TestAFleetThatStartsAtOnceIsNotDead(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleet(seed, grownProxies)
		for i, n := range f.nodes {
			if n.list.Self.Role == Proxy && i%3 != 0 {
				n.starved = 300 * time.Millisecond
				n.delay = func() time.Duration {
					since := time.Duration(f.now)
					return max(0, min(since*2/5, 1200*time.Millisecond-since/6))
				}
			}
		}
		f.pass(10 * time.Second)
		if len(f.verdicts) > 0 {
			t.Errorf("seed %d: verdicts against %d members", seed, len(f.verdicts))
		}
	}
}

// Two cuts of the core in a row, the second two seconds after the first, harm
// nobody but, for a while, the machine that is cut off.
func TestTwoCutsInARowAccuseNobodyElse(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, grownProxies)
	core := func(at ids.Address) bool { return f.at[at].list.Self.Role != Proxy }
	lost := func(at ids.Address) bool { return at == "machine-0-registry" || at == "machine-0-store" }
	f.pass(4 * time.Second)
	f.trouble()
	since := f.now
	f.at["machine-0-registry"].list.MayDeclareDead = func(now ids.Time) bool { return f.cut == nil || now.Since(since) < 1500*time.Millisecond }
	f.cut = func(from, to ids.Address) bool { return core(from) && core(to) && lost(from) != lost(to) }
	f.pass(20 * time.Second)
	f.cut = nil
	f.pass(2 * time.Second)
	since = f.now
	f.cut = func(from, to ids.Address) bool { return core(from) && core(to) && lost(to) && !lost(from) }
	f.pass(4 * time.Second)
	for who := range f.verdicts {
		is.True(lost(ids.Address(who))) // a verdict against one that isn't cut off
	}
	f.calm()
	f.pass(4 * time.Second)
	is.True(f.everybodyStands())
}

// buried tells whether all registries that run hold a member for gone.
func (f *fleet) buried(id ids.Daemon) bool {
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
func TestAKilledProxyIsFoundInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, grownProxies)
	f.pass(6 * time.Second)
	var sum, most time.Duration
	const kills = 20
	for i := range kills {
		n := f.nodes[10+i*4]
		f.pass(time.Duration(f.dice.Int64N(int64(400 * time.Millisecond))))
		n.down = true
		from := f.now
		for !f.buried(n.list.Self.ID) && f.now.Since(from) < 10*time.Second {
			f.pass(10 * time.Millisecond)
		}
		took := f.now.Since(from)
		sum, most = sum+took, max(most, took)
	}
	t.Logf("found dead after %s on average, %s at most", sum/kills, most)
	is.True(sum/kills <= 1700*time.Millisecond)
	is.True(most <= 2*time.Second)
	is.Equal(len(f.verdicts), kills)
}

// A zone goes at once, and with it the watchers of some of its members: none of
// their votes is there to be had, and all the same the zone is found dead.
func TestAWholeZoneIsFoundDead(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		for _, proxies := range []int{grownProxies, 8} {
			is := is.New(t)
			f := newFleet(seed, proxies)
			f.pass(6 * time.Second)
			var dead []ids.Daemon
			for _, n := range f.nodes {
				// Of the small fleet, a region: three zones of nine.
				if n.list.Self.Zone == "z0" || proxies < grownProxies && (n.list.Self.Zone == "z1" || n.list.Self.Zone == "z5") {
					n.down = true
					dead = append(dead, n.list.Self.ID)
				}
			}
			from := f.now
			left := func() int {
				n := 0
				for _, id := range dead {
					if !f.buried(id) {
						n++
					}
				}
				return n
			}
			for left() > 0 && f.now.Since(from) < 10*time.Second {
				f.pass(10 * time.Millisecond)
			}
			t.Logf("seed %d: %d members found dead after %s", seed, len(dead), f.now.Since(from))
			is.True(f.now.Since(from) <= 3*time.Second)
			f.pass(5 * time.Second)
			is.Equal(len(f.verdicts), len(dead))
		}
	}
}
