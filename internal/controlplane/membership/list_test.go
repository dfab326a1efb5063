package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// hall is a few rolls whose messages are passed by hand, in steps of a beat.
type hall struct {
	now   ids.Time
	rolls map[ids.Address]*List
	outs  map[ids.Address]*event.Outbox
	mute  map[ids.Address]bool
}

func newHall(n int) *hall {
	h := &hall{now: 1, rolls: map[ids.Address]*List{}, outs: map[ids.Address]*event.Outbox{}, mute: map[ids.Address]bool{}}
	for i := range n {
		role := Proxy
		if i < 2 {
			role = Registry
		}
		at := ids.Address(fmt.Sprintf("m%d", i))
		out := &event.Outbox{}
		h.outs[at] = out
		h.rolls[at] = New(Options{Self: Member{ID: ids.Daemon(at), Role: role, Address: at, Start: ids.RunID(i + 1), Incarnation: 1, Ready: true}, Seeds: []ids.Address{"m0"}}, out)
	}
	return h
}

// pass lets time go by and carries every message, but for those of the mute.
func (h *hall) pass(d time.Duration) {
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(250 * time.Millisecond) {
		for i := range len(h.rolls) {
			at := ids.Address(fmt.Sprintf("m%d", i))
			if !h.mute[at] {
				h.rolls[at].Tick(h.now)
			}
		}
		for busy := true; busy; {
			busy = false
			for i := range len(h.rolls) {
				at := ids.Address(fmt.Sprintf("m%d", i))
				for _, c := range h.outs[at].Drain() {
					s, ok := c.(event.Send)
					if ok && !h.mute[at] && !h.mute[s.To] && h.rolls[s.To] != nil {
						busy = true
						h.rolls[s.To].Receive(h.now, at, s.Msg)
					}
				}
			}
		}
	}
}

func (h *hall) gone(seer, who ids.Daemon) bool {
	m, ok := h.rolls[ids.Address(seer)].Get(who)
	return ok && m.Gone
}

func TestAllMeetThroughOneSeed(t *testing.T) {
	is := is.New(t)
	h := newHall(9)
	h.pass(3 * time.Second)
	for _, r := range h.rolls {
		is.Equal(len(r.All()), 9)
		is.Equal(len(r.Live(Registry)), 2)
	}
}

// A daemon that falls silent is judged gone by its watchers' majority, all
// learn it, and when it speaks again it refutes.
func TestSilentOnesAreGoneAndComeBack(t *testing.T) {
	is := is.New(t)
	h := newHall(9)
	h.pass(3 * time.Second)
	h.mute["m5"] = true
	h.pass(2500 * time.Millisecond)
	for i := range 9 {
		is.True(i == 5 || h.gone(ids.Daemon(fmt.Sprintf("m%d", i)), "m5"))
	}
	h.mute["m5"] = false
	h.pass(3 * time.Second)
	m, _ := h.rolls["m0"].Get("m5")
	is.True(!m.Gone && m.Incarnation > 1)
	is.True(!h.rolls["m0"].Ended("m5", 6)) // the same run all along
}

// Three in a row on the ring die at once, among them each other's watchers.
func TestWatchersDieToo(t *testing.T) {
	is := is.New(t)
	h := newHall(9)
	h.pass(3 * time.Second)
	stand := h.rolls["m0"].livingMembers()
	for i, m := range stand {
		if m.Role == Registry {
			continue
		}
		// From here on round the ring, all but registries.
		for k := 0; k < 3; k++ {
			if x := stand[(i+k)%len(stand)]; x.Role != Registry {
				h.mute[x.Address] = true
			}
		}
		break
	}
	h.pass(4 * time.Second)
	for at := range h.mute {
		is.True(h.gone("m0", ids.Daemon(at)))
	}
	is.Equal(len(h.rolls["m0"].livingMembers()), 9-len(h.mute))
}

// One that was frozen doubts nobody for its own silence, and a registry that
// may not judge doesn't.
func TestOwnSilenceProvesNothing(t *testing.T) {
	is := is.New(t)
	h := newHall(5)
	h.pass(3 * time.Second)
	for _, at := range []ids.Address{"m0", "m1"} {
		h.rolls[at].MayDeclareDead = func(ids.Time) bool { return false }
	}
	h.mute["m3"] = true
	h.pass(5 * time.Second)
	is.True(!h.gone("m0", "m3"))
	h.mute["m3"] = false
	h.pass(time.Second)
	for _, r := range h.rolls {
		r.MayDeclareDead = nil
	}
	h.now = h.now.Add(time.Minute) // everybody slept
	h.pass(time.Second)
	is.Equal(len(h.rolls["m0"].livingMembers()), 5)
}
