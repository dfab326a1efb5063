package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/state/consensus"
)

// Every disk is lost. The blank stores form no voter set by themselves; an operator's
// request at one of the three forms one whose number is above any of the lost one.
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
	first := seedAddresses[0]
	var rejection string
	for _, command := range c.stores[first].Step(c.now, RecoverRequest{ID: 1}) {
		if r, ok := command.(RecoverResponse); ok {
			rejection = r.Rejection
		}
	}
	is.Equal(rejection, "")
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 2)
	for _, address := range seedAddresses {
		is.Equal(c.voterSet(address).Number, uint64(consensus.VoterSetNumberAfterTotalLoss))
		is.Equal(c.voterSet(address).LossCount, uint64(1))
	}
}
