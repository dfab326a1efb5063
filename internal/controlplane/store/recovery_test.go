package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// requestRecovery sends an operator's request to a store, and returns why it was rejected, or
// "" if it was accepted.
func (c *cluster) requestRecovery(address ids.Address) string {
	rejection := "no response"
	commands := c.stores[address].Step(c.now, RecoverRequest{ID: 1})
	for _, command := range commands {
		if r, ok := command.(RecoverResponse); ok {
			rejection = r.Rejection
		}
	}
	c.perform(address, commands)
	return rejection
}

// After the permanent loss of two of three disks, the third store must recover with two blank
// stores, but only on an operator's request and once both are running.
func TestRecovery_FromOneDiskOnOperatorRequest(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t)
	survivor := seedAddresses[0]
	c.put(t, survivor, "key", "value")
	number := c.voterSet(survivor).Number
	is.Equal(c.requestRecovery(survivor), "a majority of the roster is still there")
	for _, address := range seedAddresses[1:] {
		c.wipe(address)
	}
	c.run(5 * time.Second)
	is.Equal(c.requestRecovery(survivor), "two blank stores must be running first")
	for _, address := range []ids.Address{standbyA, standbyB} {
		c.start(address, seedAddresses, false)
	}
	c.run(2 * time.Second)
	is.Equal(c.requestRecovery(standbyA), "this store has no seat in the roster: it holds nothing to go on from")
	is.Equal(c.requestRecovery(survivor), "")
	c.run(10 * time.Second)
	for _, address := range []ids.Address{survivor, standbyA, standbyB} {
		is.True(c.canVote(address))
		is.True(c.voterSet(address).Number > number+recoveryNumberStep)
		is.Equal(c.voterSet(address).LossCount, uint64(1))
	}
	c.wipe(survivor)
	c.requireValue(t, standbyA, "key", "value")
}

// After the loss of all disks, blank stores must form a voter set only on an operator's request,
// with a number above that of any earlier voter set.
func TestRecovery_AfterTotalLossOnOperatorRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startSeeds(true)
	c.run(5 * time.Second)
	for _, address := range seedAddresses {
		c.wipe(address)
		c.start(address, seedAddresses, false)
	}
	c.run(30 * time.Second)
	is.Equal(c.bootstrapCount(), 1)
	is.Equal(c.requestRecovery(seedAddresses[0]), "")
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 2)
	for _, address := range seedAddresses {
		is.Equal(c.voterSet(address).Number, uint64(consensus.VoterSetNumberAfterTotalLoss))
		is.Equal(c.voterSet(address).LossCount, uint64(1))
	}
}
