package foreman

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/ledger"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

const tickEvery = 50 * time.Millisecond

// bench is one foreman with a stockroom that answers until it is cut off.
type bench struct {
	*Foreman
	now    ticket.Tick
	cut    bool
	status map[uint64]int
}

func newBench(thrifty bool) *bench {
	self := rollcall.Member{ID: "f", Role: rollcall.Foreman, Address: "10.0.0.1:1", Start: 1, Cell: "c"}
	f := New(Params{Params: rollcall.Params{Self: self, Seeds: []ticket.Address{"10.0.0.2:1"}},
		Dice: rand.New(rand.NewPCG(1, 1)), Thrifty: thrifty})
	b := &bench{Foreman: f, now: 1, status: map[uint64]int{}}
	return b
}

func (b *bench) step(ev works.Event) {
	for _, c := range b.Step(b.now, ev) {
		switch c := c.(type) {
		case works.Send:
			if a, ok := c.Msg.(ledger.Ask); ok && !b.cut {
				b.hear(ledger.Told{ID: a.ID, State: ledger.Done, Try: a.Try})
			}
		case Response:
			b.status[c.ID] = c.Status
		}
	}
}

func (b *bench) hear(msg any) { b.step(works.Heard{From: "10.0.0.2:1", Msg: msg}) }

// run lets time pass; another foreman's news of a target comes meanwhile.
func (b *bench) run(for_ time.Duration, news func(ticket.Sequence) yard.Target) {
	for end := b.now.Add(for_); b.now < end; b.now = b.now.Add(tickEvery) {
		if news != nil {
			b.hear(yard.Share{List: []yard.Target{news(ticket.Sequence(b.now))}})
		}
		if !b.cut {
			// Each beat refutes what may have been said of it meanwhile.
			b.hear(rollcall.Heartbeat{Self: rollcall.Member{ID: "s", Role: rollcall.Stockroom, Address: "10.0.0.2:1", Start: 1, Ready: true,
				Incarnation: ticket.Incarnation(b.now)}})
		}
		b.step(works.ClockEvent{})
	}
}

func elsewhere(seq ticket.Sequence) yard.Target {
	return yard.Target{Instance: "i", Incarnation: 1, Sequence: seq, Service: "s", Address: "10.0.1.1:80", Cell: "c", Warmth: 1, Interval: 1000}
}

// The core was cut in two while counters and targets reached both sides. Each
// side counted the targets that called on the other as gone, counters believed
// both, and soon every target was gone.
func TestAForemanApartCountsNoTargetAsGone(t *testing.T) {
	for _, thrifty := range []bool{true, false} {
		is := is.New(t)
		b := newBench(thrifty)
		b.run(3*time.Second, elsewhere)
		b.cut = true
		b.run(10*time.Second, nil)
		got, ok := b.Yard.Get(b.now, "i")
		is.True(ok)
		is.True(!got.Gone)
		// Back with its majority it counts anew, and does judge.
		b.cut = false
		b.run(2500*time.Millisecond, nil)
		got, _ = b.Yard.Get(b.now, "i")
		is.True(!got.Gone)
		b.run(2*time.Second, nil)
		got, _ = b.Yard.Get(b.now, "i")
		is.True(got.Gone)
	}
}

// A target that calls on a foreman apart is unknown to the others: its word is
// taken, and it is sent on to one that can hand it on.
func TestAForemanApartSendsTargetsOn(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.run(time.Second, nil)
	b.step(AnnounceCall{ID: 1, Target: elsewhere(1)})
	is.Equal(b.status[1], 200)
	b.cut = true
	b.run(2*time.Second, nil)
	b.step(AnnounceCall{ID: 2, Target: elsewhere(2)})
	is.Equal(b.status[2], 503)
	is.Equal(b.Yard.Newest("i"), ticket.Sequence(2))
	// A target that leaves is heard all the same: the counters here must know.
	leaving := elsewhere(3)
	leaving.Leaving = true
	b.step(AnnounceCall{ID: 3, Target: leaving})
	b.run(time.Second, nil)
	is.Equal(b.status[3], 200)
	b.cut = false
	b.run(2*time.Second, nil)
	b.step(AnnounceCall{ID: 4, Target: elsewhere(4)})
	is.Equal(b.status[4], 200)
}

// A foreman that started before it knew any stockroom asked nobody, and asked
// again only after a try's whole span: a fleet's way back hung on that.
func TestAForemanReadsAsSoonAsItKnowsAStockroom(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.cut = true
	b.run(3*tickEvery, nil)
	is.Equal(b.agreed, ticket.Tick(0))
	b.cut = false
	b.run(2*tickEvery, nil)
	is.True(b.agreed != 0)
}
