package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/state/consensus"
)

// A voter that was away for long is replaced by a standby. When it comes back with its
// disk it has no vote, rejects requests, and is to start again as a blank store.
func TestReplacement_ReplacedVoterRetires(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, standbyA)
	away := seedAddresses[1]
	c.stop(away)
	c.declareDead(away)
	c.run(silentVoterTimeout / 2)
	is.True(!c.canVote(standbyA)) // a restart takes less than silentVoterTimeout
	c.run(silentVoterTimeout)
	is.True(c.canVote(standbyA))
	c.start(away, seedAddresses, false)
	c.run(2 * time.Second)
	is.Equal(c.stores[away].DiskState(), consensus.Replaced)
	is.True(!c.canVote(away))
	is.True(c.retired[away])
	is.Equal(c.request(away, "k1", consensus.Read, nil).Outcome, consensus.Rejected)
	is.Equal(len(c.retired), 1)
}

// A blank store at the address of a voter replaces it without waiting: the voter's disk
// must be gone.
func TestReplacement_WipedVoterReplacesItself(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t)
	wiped := seedAddresses[1]
	lostID := c.disks[wiped].storeID
	c.wipe(wiped)
	c.start(wiped, seedAddresses, false)
	c.run(silentVoterTimeout / 2)
	is.True(c.canVote(wiped))
	is.True(!c.voterSet(seedAddresses[0]).HasVoter(lostID))
	c.wipe(seedAddresses[2])
	c.requireValue(t, seedAddresses[0], "k1", "v")
}
