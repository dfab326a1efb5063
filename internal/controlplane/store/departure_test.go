package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

const (
	standbyA = ids.Address("10.0.0.4:1")
	standbyB = ids.Address("10.0.0.5:1")
)

// A plain restart, with no standby, changes no voter set and ends at once.
func TestLeave_PlainRestartKeepsVoterSet(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t)
	before := c.voterSet(seedAddresses[0]).Number
	for _, address := range seedAddresses {
		leftAt := c.now
		c.leave(address)
		c.run(100 * time.Millisecond)
		is.True(c.mayStopAt[address] != 0 && c.mayStopAt[address].Sub(leftAt) <= 40*time.Millisecond)
		c.stop(address)
		c.run(time.Second)
		c.start(address, seedAddresses, false)
		c.run(2 * time.Second)
		is.True(c.canVote(address))
	}
	is.Equal(c.voterSet(seedAddresses[0]).Number, before)
}

// A planned replacement: the new machine first, then the signal. The vote is handed
// over before the leaving store stops, and right after it a second disk may be lost.
func TestLeave_HandsVoteToStandby(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	leaver := seedAddresses[1]
	c.put(t, leaver, "last", "word")
	leftAt := c.now
	c.leave(leaver)
	duration := c.runUntilMayStop(t, leaver, leftAt)
	t.Logf("handed over in %s", duration)
	is.True(duration < time.Second)
	is.True(c.canVote(standbyA))
	c.wipe(leaver)
	is.True(c.voterSet(seedAddresses[0]).HasVoter(c.disks[standbyA].storeID))
	is.True(!c.voterSet(seedAddresses[0]).HasVoter(2))
	c.wipe(seedAddresses[2])
	c.requireValue(t, seedAddresses[0], "last", "word")
}

// Two voters leave at once, with two standbys.
func TestLeave_TwoVotersAtOnce(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA, standbyB)
	c.put(t, seedAddresses[1], "last", "word")
	leftAt := c.now
	c.leave(seedAddresses[1])
	c.leave(seedAddresses[2])
	for _, address := range seedAddresses[1:] {
		t.Logf("%s may stop after %s", address, c.runUntilMayStop(t, address, leftAt))
	}
	for _, address := range seedAddresses[1:] {
		is.True(c.mayStopAt[address].Sub(leftAt) < 4*time.Second)
		c.wipe(address)
	}
	is.True(c.canVote(standbyA) && c.canVote(standbyB))
	c.wipe(seedAddresses[0])
	c.requireValue(t, standbyA, "last", "word")
}

// One voter leaves after another was lost, with one standby: that replaces the lost
// one, and the leaving store serves until it votes.
func TestLeave_StandbyReplacesLostVoterFirst(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	leaver, lost := seedAddresses[1], seedAddresses[2]
	c.put(t, leaver, "last", "word")
	c.wipe(lost)
	c.declareDead(lost)
	leftAt := c.now
	c.leave(leaver)
	duration := c.runUntilMayStop(t, leaver, leftAt)
	t.Logf("may stop after %s", duration)
	is.True(c.canVote(standbyA))
	is.True(duration < 5*time.Second)
	c.stop(leaver)
	c.requireValue(t, seedAddresses[0], "last", "word")
	// The store that left is still a voter, and comes back with its disk.
	c.start(leaver, seedAddresses, false)
	c.run(2 * time.Second)
	is.True(c.canVote(leaver))
}

// The leaving store is killed and loses its disk after each message of the hand-over
// in turn. Whether its vote was handed over by then or not, three vote in the end.
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
		for _, address := range []ids.Address{seedAddresses[0], seedAddresses[2], standbyA} {
			if !c.canVote(address) {
				t.Fatalf("killed after %d messages: %s has no vote", messages, address)
			}
		}
		c.requireValue(t, standbyA, "last", "word")
	}
}
