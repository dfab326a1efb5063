package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

const (
	standbyA = ids.Address("10.0.0.4:1")
	standbyB = ids.Address("10.0.0.5:1")
)

// put changes a register through a store; it is known to be chosen or fails.
func (c *cluster) put(t *testing.T, at ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(at, key, opPut, []byte(value)); r.Outcome != consensus.Succeeded {
		t.Fatalf("put %s at %s: %s", key, at, r.Outcome)
	}
}

func (c *cluster) request(at ids.Address, key ids.RegisterKey, op consensus.Op, arg []byte) consensus.Response {
	c.nextID++
	r := consensus.Request{ID: 1<<40 + c.nextID, Key: key, Op: op, Arg: arg, TimeoutMillis: 3000}
	c.perform(at, c.stores[at].Step(c.now, event.Received{From: clientAddress, Msg: r}))
	for range 200 {
		c.run(20 * time.Millisecond)
		for _, a := range c.responses {
			if a.ID == r.ID {
				return a
			}
		}
	}
	return consensus.Response{Outcome: consensus.Indeterminate}
}

// requireValue checks that a register still reads as it was acknowledged.
func (c *cluster) requireValue(t *testing.T, at ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(at, key, consensus.Read, nil); r.Outcome != consensus.Succeeded || string(r.Result) != value {
		t.Fatalf("read of %s at %s: %s %q, acknowledged was %q", key, at, r.Outcome, r.Result, value)
	}
}

func (c *cluster) leave(at ids.Address) {
	c.perform(at, c.stores[at].Step(c.now, Leave{Within: 5 * time.Second}))
}

// declareDead makes the roll count a store as gone, as a registry's verdict does.
func (c *cluster) declareDead(at ids.Address) {
	for to, s := range c.stores {
		for _, m := range s.All() {
			if m.Address == at && to != at {
				m.Gone = true
				c.perform(to, s.Step(c.now, event.Received{From: to, Msg: membership.Snapshot{Members: []membership.Member{m}, Final: true}}))
			}
		}
	}
}

// newRunningCluster is a running one of three, with spares that had their time to copy.
func newRunningCluster(t *testing.T, standbys ...ids.Address) *cluster {
	t.Helper()
	c := newCluster()
	c.startAll(true)
	c.run(5 * time.Second)
	for i := range 300 {
		c.perform(seedAddresses[0], c.stores[seedAddresses[0]].Step(c.now, event.Received{
			From: clientAddress,
			Msg:  consensus.Request{ID: uint64(i + 1), Key: ids.RegisterKey(fmt.Sprint("k", i)), Op: opPut, Arg: []byte("v"), TimeoutMillis: 3000},
		}))
	}
	c.run(time.Second)
	for _, a := range standbys {
		c.start(a, seedAddresses, false)
	}
	c.run(4 * time.Second)
	return c
}

// has tells whether a store's disk has a vote and may use it.
func (c *cluster) canVote(at ids.Address) bool {
	s := c.stores[at]
	return s != nil && s.MayVote() && s.DiskState() == consensus.Complete
}

// A plain restart, with nobody standing by, changes no membership and ends at once.
func TestLeave_PlainRestartKeepsVoterSet(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t)
	before := c.voterSet(seedAddresses[0]).Number
	for _, a := range seedAddresses {
		leftAt := c.now
		c.leave(a)
		c.run(100 * time.Millisecond)
		is.True(c.mayStopAt[a] != 0 && c.mayStopAt[a].Sub(leftAt) <= 40*time.Millisecond)
		c.stop(a)
		c.run(time.Second)
		c.start(a, seedAddresses, false)
		c.run(2 * time.Second)
		is.True(c.canVote(a))
	}
	is.Equal(c.voterSet(seedAddresses[0]).Number, before)
}

// A planned replacement: the new machine first, then the signal. The vote is moved
// before the leaver stops, and right after it a second machine may lose its disk.
func TestLeave_HandsVoteToStandby(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	leaver := seedAddresses[1]
	c.put(t, leaver, "last", "word")
	leftAt := c.now
	c.leave(leaver)
	for c.mayStopAt[leaver] == 0 && c.now.Sub(leftAt) < 6*time.Second {
		c.run(20 * time.Millisecond)
	}
	t.Logf("handed over in %s", c.mayStopAt[leaver].Sub(leftAt))
	is.True(c.mayStopAt[leaver].Sub(leftAt) < time.Second)
	is.True(c.canVote(standbyA))
	c.wipe(leaver)
	is.True(c.voterSet(seedAddresses[0]).HasVoter(c.disks[standbyA].id))
	is.True(!c.voterSet(seedAddresses[0]).HasVoter(2))
	c.wipe(seedAddresses[2])
	c.requireValue(t, seedAddresses[0], "last", "word")
}

// Two leave at once, with two standing by.
func TestLeave_TwoVotersAtOnce(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA, standbyB)
	c.put(t, seedAddresses[1], "last", "word")
	leftAt := c.now
	c.leave(seedAddresses[1])
	c.leave(seedAddresses[2])
	for _, a := range seedAddresses[1:] {
		for c.mayStopAt[a] == 0 && c.now.Sub(leftAt) < 6*time.Second {
			c.run(20 * time.Millisecond)
		}
		t.Logf("%s may stop after %s", a, c.mayStopAt[a].Sub(leftAt))
	}
	for _, a := range seedAddresses[1:] {
		is.True(c.mayStopAt[a].Sub(leftAt) < 4*time.Second)
		c.wipe(a)
	}
	is.True(c.canVote(standbyA) && c.canVote(standbyB))
	c.wipe(seedAddresses[0])
	c.requireValue(t, standbyA, "last", "word")
}

// One leaves while another is lost, with one standing by: it is for the lost one's
// place, and the leaver serves until that one votes.
func TestLeave_StandbyReplacesLostVoterFirst(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	c.put(t, seedAddresses[1], "last", "word")
	c.wipe(seedAddresses[2])
	c.declareDead(seedAddresses[2])
	leftAt := c.now
	c.leave(seedAddresses[1])
	for c.mayStopAt[seedAddresses[1]] == 0 && c.now.Sub(leftAt) < 6*time.Second {
		c.run(20 * time.Millisecond)
	}
	t.Logf("may stop after %s", c.mayStopAt[seedAddresses[1]].Sub(leftAt))
	is.True(c.canVote(standbyA))
	is.True(c.mayStopAt[seedAddresses[1]].Sub(leftAt) < 5*time.Second)
	c.stop(seedAddresses[1])
	c.requireValue(t, seedAddresses[0], "last", "word")
	// The voter that left is still one, and comes back with its disk.
	c.start(seedAddresses[1], seedAddresses, false)
	c.run(2 * time.Second)
	is.True(c.canVote(seedAddresses[1]))
}

// The leaver is killed, disk and all, after each of the messages of the hand-over in
// turn. Whether its vote was moved by then or not, three vote in the end.
func TestLeave_LeaverKilledAfterEachMessage(t *testing.T) {
	for messages := 1; messages <= 120; messages += 2 {
		c := newRunningCluster(t, standbyA)
		leaver := seedAddresses[1]
		c.put(t, leaver, "last", "word")
		c.leave(leaver)
		c.messagesBeforeFault, c.fault = messages, func() { c.wipe(leaver) }
		c.run(500 * time.Millisecond)
		c.wipe(leaver)
		c.declareDead(leaver)
		c.run(8 * time.Second)
		for _, a := range []ids.Address{seedAddresses[0], seedAddresses[2], standbyA} {
			if !c.canVote(a) {
				t.Fatalf("killed after %d messages: %s has no vote", messages, a)
			}
		}
		c.requireValue(t, standbyA, "last", "word")
	}
}
