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

// Without a standby, a leaving store may stop immediately, and the voter set is unchanged.
func TestLeave_PlainRestartKeepsVoterSet(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t)
	before := c.voterSet(seedAddresses[0]).Number
	for _, address := range seedAddresses {
		leaveAt := c.now
		c.leave(address)
		c.run(100 * time.Millisecond)
		is.True(c.mayStopAt[address] != 0 && c.mayStopAt[address].Sub(leaveAt) <= 40*time.Millisecond)
		c.stop(address)
		c.run(time.Second)
		c.start(address, seedAddresses, false)
		c.run(2 * time.Second)
		is.True(c.canVote(address))
	}
	is.Equal(c.voterSet(seedAddresses[0]).Number, before)
}

// A leaving store must hand its vote to a standby before it stops, so that no data is lost if
// another disk is lost right after.
func TestLeave_HandsVoteToStandby(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	leaving := seedAddresses[1]
	c.put(t, leaving, "key", "value")
	leaveAt := c.now
	c.leave(leaving)
	duration := c.runUntilMayStop(t, leaving, leaveAt)
	t.Logf("vote handed over in %s", duration)
	is.True(duration < time.Second)
	is.True(c.canVote(standbyA))
	c.wipe(leaving)
	is.True(c.voterSet(seedAddresses[0]).HasVoter(c.disks[standbyA].storeID))
	is.True(!c.voterSet(seedAddresses[0]).HasVoter(2))
	c.wipe(seedAddresses[2])
	c.requireValue(t, seedAddresses[0], "key", "value")
}

// Two voters that leave at the same time must both be replaced by standbys.
func TestLeave_TwoVotersAtOnce(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA, standbyB)
	c.put(t, seedAddresses[1], "key", "value")
	leaveAt := c.now
	c.leave(seedAddresses[1])
	c.leave(seedAddresses[2])
	for _, address := range seedAddresses[1:] {
		t.Logf("%s may stop after %s", address, c.runUntilMayStop(t, address, leaveAt))
	}
	for _, address := range seedAddresses[1:] {
		is.True(c.mayStopAt[address].Sub(leaveAt) < 4*time.Second)
		c.wipe(address)
	}
	is.True(c.canVote(standbyA) && c.canVote(standbyB))
	c.wipe(seedAddresses[0])
	c.requireValue(t, standbyA, "key", "value")
}

// The only standby must replace a lost voter, not the leaving one. The leaving store must not
// stop before the standby votes.
func TestLeave_StandbyReplacesLostVoterFirst(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	leaving, lost := seedAddresses[1], seedAddresses[2]
	c.put(t, leaving, "key", "value")
	c.wipe(lost)
	c.declareDead(lost)
	leaveAt := c.now
	c.leave(leaving)
	duration := c.runUntilMayStop(t, leaving, leaveAt)
	t.Logf("may stop after %s", duration)
	is.True(c.canVote(standbyA))
	is.True(duration < 5*time.Second)
	c.stop(leaving)
	c.requireValue(t, seedAddresses[0], "key", "value")
	// The store that left is still a voter, and votes again after a restart.
	c.start(leaving, seedAddresses, false)
	c.run(2 * time.Second)
	is.True(c.canVote(leaving))
}

// A leaving store that is killed and loses its disk at any point of the hand-over must still be
// replaced, and no acknowledged write may be lost.
func TestLeave_LeavingStoreKilledAfterEachMessage(t *testing.T) {
	for messages := 1; messages <= 120; messages += 2 {
		c := newRunningCluster(t, standbyA)
		leaving := seedAddresses[1]
		c.put(t, leaving, "key", "value")
		c.leave(leaving)
		c.messagesBeforeFault, c.fault = messages, func() { c.wipe(leaving) }
		c.run(500 * time.Millisecond)
		c.wipe(leaving)
		c.declareDead(leaving)
		c.run(8 * time.Second)
		for _, address := range []ids.Address{seedAddresses[0], seedAddresses[2], standbyA} {
			if !c.canVote(address) {
				t.Fatalf("killed after %d messages: %s has no vote", messages, address)
			}
		}
		c.requireValue(t, standbyA, "key", "value")
	}
}
