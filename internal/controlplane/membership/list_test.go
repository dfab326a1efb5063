package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// cluster is a set of lists whose messages are delivered in steps of one heartbeat interval. The
// members are named m0, m1 and so on.
type cluster struct {
	now      ids.Time
	lists    map[ids.Address]*List
	outboxes map[ids.Address]*event.Outbox
	// muted members don't tick, and their messages in both directions are dropped.
	muted map[ids.Address]bool
}

// newCluster returns a cluster of two registries and n-2 proxies.
func newCluster(n int) *cluster {
	c := &cluster{
		now:      1,
		lists:    map[ids.Address]*List{},
		outboxes: map[ids.Address]*event.Outbox{},
		muted:    map[ids.Address]bool{},
	}
	for i := range n {
		role := Proxy
		if i < 2 {
			role = Registry
		}
		at := address(i)
		c.outboxes[at] = &event.Outbox{}
		c.lists[at] = New(Options{
			Self:  Member{ID: ids.DaemonID(at), Role: role, Address: at, RunID: ids.RunID(i + 1), Incarnation: 1, Ready: true},
			Seeds: []ids.Address{"m0"},
		}, c.outboxes[at])
	}
	return c
}

// address returns the address of the i-th member, which is also its ID.
func address(i int) ids.Address { return ids.Address(fmt.Sprintf("m%d", i)) }

// advance advances the time and delivers all messages.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(250 * time.Millisecond) {
		for i := range len(c.lists) {
			if at := address(i); !c.muted[at] {
				c.lists[at].Tick(c.now)
			}
		}
		for c.deliver() {
		}
	}
}

// deliver delivers the messages that the members have sent, and reports whether there
// were any.
func (c *cluster) deliver() bool {
	delivered := false
	for i := range len(c.lists) {
		at := address(i)
		for _, command := range c.outboxes[at].Drain() {
			send, ok := command.(event.Send)
			if ok && !c.muted[at] && !c.muted[send.To] && c.lists[send.To] != nil {
				delivered = true
				c.lists[send.To].Receive(c.now, at, send.Message)
			}
		}
	}
	return delivered
}

// isDeclaredDead reports whether an observer's list has a member as dead.
func (c *cluster) isDeclaredDead(observer, member ids.DaemonID) bool {
	m, ok := c.lists[ids.Address(observer)].Get(member)
	return ok && m.Dead
}

// Members that only know one seed must find all others through it.
func TestList_MembersJoinThroughOneSeed(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	for _, list := range c.lists {
		is.Equal(len(list.All()), 9)
		is.Equal(len(list.Live(Registry)), 2)
	}
}

// A silent member must be declared dead in the lists of all others, and refute its death when it
// is reachable again.
func TestList_SilentMemberIsDeclaredDeadAndRefutes(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	c.muted["m5"] = true
	c.advance(2500 * time.Millisecond)
	for i := range 9 {
		is.True(i == 5 || c.isDeclaredDead(ids.DaemonID(address(i)), "m5"))
	}
	c.muted["m5"] = false
	c.advance(3 * time.Second)
	m, _ := c.lists["m0"].Get("m5")
	is.True(!m.Dead && m.Incarnation > 1)
	is.True(!c.lists["m0"].RunEnded("m5", 6)) // still the same run
}

// Neighbours on the ring, which watch each other, must be declared dead when they fail at once.
func TestList_WatchersThatDieTogetherAreDeclaredDead(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	live := c.lists["m0"].liveMembers()
	for i, m := range live {
		if m.Role == Registry {
			continue
		}
		// Mutes the first proxy and the next two members, except for registries.
		for k := range 3 {
			if neighbour := live[(i+k)%len(live)]; neighbour.Role != Registry {
				c.muted[neighbour.Address] = true
			}
		}
		break
	}
	c.advance(4 * time.Second)
	for at := range c.muted {
		is.True(c.isDeclaredDead("m0", ids.DaemonID(at)))
	}
	is.Equal(len(c.lists["m0"].liveMembers()), 9-len(c.muted))
}

// A paused member must not suspect others because of its own pause, and a registry for which
// MayDeclareDead returns false must not declare members dead.
func TestList_ProcessPauseCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	c := newCluster(5)
	c.advance(3 * time.Second)
	for _, at := range []ids.Address{"m0", "m1"} {
		c.lists[at].MayDeclareDead = func(ids.Time) bool { return false }
	}
	c.muted["m3"] = true
	c.advance(5 * time.Second)
	is.True(!c.isDeclaredDead("m0", "m3"))
	c.muted["m3"] = false
	c.advance(time.Second)
	for _, list := range c.lists {
		list.MayDeclareDead = nil
	}
	c.now = c.now.Add(time.Minute) // all members were paused
	c.advance(time.Second)
	is.Equal(len(c.lists["m0"].liveMembers()), 5)
}
