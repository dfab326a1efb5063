package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// cluster is a few rolls whose messages are passed by hand, in steps of a beat.
type cluster struct {
	now      ids.Time
	lists    map[ids.Address]*List
	outboxes map[ids.Address]*event.Outbox
	muted    map[ids.Address]bool
}

func newCluster(n int) *cluster {
	c := &cluster{now: 1, lists: map[ids.Address]*List{}, outboxes: map[ids.Address]*event.Outbox{}, muted: map[ids.Address]bool{}}
	for i := range n {
		role := Proxy
		if i < 2 {
			role = Registry
		}
		at := ids.Address(fmt.Sprintf("m%d", i))
		out := &event.Outbox{}
		c.outboxes[at] = out
		c.lists[at] = New(Options{Self: Member{ID: ids.DaemonID(at), Role: role, Address: at, RunID: ids.RunID(i + 1), Incarnation: 1, Ready: true}, Seeds: []ids.Address{"m0"}}, out)
	}
	return c
}

// advance lets time go by and carries every message, but for those of the mute.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(250 * time.Millisecond) {
		for i := range len(c.lists) {
			at := ids.Address(fmt.Sprintf("m%d", i))
			if !c.muted[at] {
				c.lists[at].Tick(c.now)
			}
		}
		for busy := true; busy; {
			busy = false
			for i := range len(c.lists) {
				at := ids.Address(fmt.Sprintf("m%d", i))
				for _, command := range c.outboxes[at].Drain() {
					send, ok := command.(event.Send)
					if ok && !c.muted[at] && !c.muted[send.To] && c.lists[send.To] != nil {
						busy = true
						c.lists[send.To].Receive(c.now, at, send.Msg)
					}
				}
			}
		}
	}
}

func (c *cluster) isGone(observer, member ids.DaemonID) bool {
	m, ok := c.lists[ids.Address(observer)].Get(member)
	return ok && m.Gone
}

func TestList_MembersJoinThroughOneSeed(t *testing.T) {
	is := is.New(t)
	h := newCluster(9)
	h.advance(3 * time.Second)
	for _, r := range h.lists {
		is.Equal(len(r.All()), 9)
		is.Equal(len(r.Live(Registry)), 2)
	}
}

// A daemon that falls silent is judged gone by its watchers' majority, all
// learn it, and when it speaks again it refutes.
func TestList_SilentMemberIsDeclaredDeadAndRefutes(t *testing.T) {
	is := is.New(t)
	h := newCluster(9)
	h.advance(3 * time.Second)
	h.muted["m5"] = true
	h.advance(2500 * time.Millisecond)
	for i := range 9 {
		is.True(i == 5 || h.isGone(ids.DaemonID(fmt.Sprintf("m%d", i)), "m5"))
	}
	h.muted["m5"] = false
	h.advance(3 * time.Second)
	m, _ := h.lists["m0"].Get("m5")
	is.True(!m.Gone && m.Incarnation > 1)
	is.True(!h.lists["m0"].RunEnded("m5", 6)) // the same run all along
}

// Three in a row on the ring die at once, among them each other's watchers.
func TestList_WatchersThatDieTogetherAreDeclaredDead(t *testing.T) {
	is := is.New(t)
	h := newCluster(9)
	h.advance(3 * time.Second)
	stand := h.lists["m0"].liveMembers()
	for i, m := range stand {
		if m.Role == Registry {
			continue
		}
		// From here on round the ring, all but registries.
		for k := 0; k < 3; k++ {
			if x := stand[(i+k)%len(stand)]; x.Role != Registry {
				h.muted[x.Address] = true
			}
		}
		break
	}
	h.advance(4 * time.Second)
	for at := range h.muted {
		is.True(h.isGone("m0", ids.DaemonID(at)))
	}
	is.Equal(len(h.lists["m0"].liveMembers()), 9-len(h.muted))
}

// One that was frozen doubts nobody for its own silence, and a registry that
// may not judge doesn't.
func TestList_OwnPauseCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	h := newCluster(5)
	h.advance(3 * time.Second)
	for _, at := range []ids.Address{"m0", "m1"} {
		h.lists[at].MayDeclareDead = func(ids.Time) bool { return false }
	}
	h.muted["m3"] = true
	h.advance(5 * time.Second)
	is.True(!h.isGone("m0", "m3"))
	h.muted["m3"] = false
	h.advance(time.Second)
	for _, r := range h.lists {
		r.MayDeclareDead = nil
	}
	h.now = h.now.Add(time.Minute) // everybody slept
	h.advance(time.Second)
	is.Equal(len(h.lists["m0"].liveMembers()), 5)
}
