package store

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

func TestBootstrap_NeedsPermissionOnEverySeed(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startAll(false)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
	// Two of the three with leave aren't enough either.
	c.wipe(seedAddresses[0])
	c.wipe(seedAddresses[1])
	c.start(seedAddresses[0], seedAddresses, true)
	c.start(seedAddresses[1], seedAddresses, true)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

func TestBootstrap_HappensOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startAll(true)
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 1)
	for _, a := range seedAddresses {
		is.Equal(c.voterSet(a).Number, uint64(1))
	}
}

// A seed that is restarted before the founding keeps its leave with its disk, as
// the settings of the second start don't give it any more; a wiped one has none.
func TestBootstrap_PermissionIsKeptOnDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	for _, a := range seedAddresses[:2] {
		c.start(a, seedAddresses, true)
	}
	c.run(time.Second)
	c.stop(seedAddresses[1])
	c.start(seedAddresses[1], seedAddresses, false)
	c.run(time.Second)
	c.start(seedAddresses[2], seedAddresses, true)
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 1)

	c = newCluster()
	for _, a := range seedAddresses[:2] {
		c.start(a, seedAddresses, true)
	}
	c.run(time.Second)
	c.wipe(seedAddresses[1])
	c.start(seedAddresses[1], seedAddresses, false)
	c.start(seedAddresses[2], seedAddresses, true)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// The three old seeds come back blank beside a core that has moved elsewhere and that
// they don't reach; but one of them hears of a proxy that holds an accepted configuration.
func TestBootstrap_RefusedOnceAcceptedConfigurationIsSeen(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	for _, a := range seedAddresses {
		c.start(a, seedAddresses, true)
	}
	old := membership.Member{ID: "proxy-7", Role: membership.Proxy, Address: "10.0.0.77:1", RunID: 1, Incarnation: 1, Revision: 12}
	last := c.stores[seedAddresses[2]]
	c.perform(seedAddresses[2], last.Step(c.now, event.Received{From: old.Address, Msg: membership.Heartbeat{Self: old}}))
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
	why := slices.IndexFunc(c.logged, func(l event.LogEntry) bool {
		return l.Event == eventBootstrapRejected || l.Event == eventBootstrapWaiting
	})
	is.True(why >= 0)
	// What was seen stays with the disk: the proxy needn't be there at the next start.
	for _, a := range seedAddresses {
		c.stop(a)
		c.start(a, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// A machine whose settings still give leave is wiped beside a running core, of
// which it reaches none but a second wiped one.
func TestBootstrap_RefusedForWipedSeedsOfRunningCluster(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startAll(true)
	c.run(5 * time.Second)
	third := seedAddresses[2]
	c.isCut = func(from, to ids.Address) bool { return from != to && (from == third || to == third) }
	for _, a := range seedAddresses[:2] {
		c.wipe(a)
		c.start(a, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 1)
}

// Every disk is lost. Nothing is founded by itself; an operator's order at one of
// three blank stores founds a core above any number that the lost one had.
func TestRecovery_AfterTotalLossOnOperatorRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startAll(true)
	c.run(5 * time.Second)
	for _, a := range seedAddresses {
		c.wipe(a)
		c.start(a, seedAddresses, false)
	}
	c.run(30 * time.Second)
	is.Equal(c.bootstrapCount(), 1)
	first := seedAddresses[0]
	var answer string
	for _, x := range c.stores[first].Step(c.now, RecoverRequest{ID: 1}) {
		if r, ok := x.(RecoverResponse); ok {
			answer = r.Rejection
		}
	}
	is.Equal(answer, "")
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 2)
	for _, a := range seedAddresses {
		is.Equal(c.voterSet(a).Number, uint64(consensus.VoterSetNumberAfterTotalLoss))
		is.Equal(c.voterSet(a).LossCount, uint64(1))
	}
}
