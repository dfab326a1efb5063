package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// cluster is a few lists whose messages are delivered by hand, in steps of a heartbeat
// interval. The members are m0 and so on.
type cluster struct {
	now      ids.Time
	lists    map[ids.Address]*List
	outboxes map[ids.Address]*event.Outbox
	// muted members do nothing and are sent nothing.
	muted map[ids.Address]bool
}

// newCluster makes two registries and n-2 proxies.
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

// address is the address, and the id, of the i-th member.
func address(i int) ids.Address { return ids.Address(fmt.Sprintf("m%d", i)) }

// advance lets time pass and delivers all messages.
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

// isGone reports whether an observer has a member as dead.
func (c *cluster) isGone(observer, member ids.DaemonID) bool {
	m, ok := c.lists[ids.Address(observer)].Get(member)
	return ok && m.Dead
}

// Members that know only one seed find all others through it.
func TestList_MembersJoinThroughOneSeed(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	for _, list := range c.lists {
		is.Equal(len(list.All()), 9)
		is.Equal(len(list.Live(Registry)), 2)
	}
}

// A member that falls silent is declared dead, all others learn of it, and the member
// refutes it when it is heard again.
func TestList_SilentMemberIsDeclaredDeadAndRefutes(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	c.muted["m5"] = true
	c.advance(2500 * time.Millisecond)
	for i := range 9 {
		is.True(i == 5 || c.isGone(ids.DaemonID(address(i)), "m5"))
	}
	c.muted["m5"] = false
	c.advance(3 * time.Second)
	m, _ := c.lists["m0"].Get("m5")
	is.True(!m.Dead && m.Incarnation > 1)
	is.True(!c.lists["m0"].RunEnded("m5", 6)) // the same run all along
}

// Three neighbours on the ring die at once, who watch each other. All are declared dead.
func TestList_WatchersThatDieTogetherAreDeclaredDead(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.advance(3 * time.Second)
	live := c.lists["m0"].liveMembers()
	for i, m := range live {
		if m.Role == Registry {
			continue
		}
		// The three from the first proxy on, except for registries.
		for k := range 3 {
			if neighbour := live[(i+k)%len(live)]; neighbour.Role != Registry {
				c.muted[neighbour.Address] = true
			}
		}
		break
	}
	c.advance(4 * time.Second)
	for at := range c.muted {
		is.True(c.isGone("m0", ids.DaemonID(at)))
	}
	is.Equal(len(c.lists["m0"].liveMembers()), 9-len(c.muted))
}

// A member that was paused suspects nobody for its own silence, and a registry that may
// not declare members dead doesn't.
func TestList_OwnPauseCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	c := newCluster(5)
	c.advance(3 * time.Second)
	for _, at := range []ids.Address{"m0", "m1"} {
		c.lists[at].MayDeclareDead = func(ids.Time) bool { return false }
	}
	c.muted["m3"] = true
	c.advance(5 * time.Second)
	is.True(!c.isGone("m0", "m3"))
	c.muted["m3"] = false
	c.advance(time.Second)
	for _, list := range c.lists {
		list.MayDeclareDead = nil
	}
	c.now = c.now.Add(time.Minute) // all members were paused
	c.advance(time.Second)
	is.Equal(len(c.lists["m0"].liveMembers()), 5)
}
