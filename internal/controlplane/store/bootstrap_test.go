package store

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

func TestBootstrap_NeedsPermissionOnEverySeed(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startSeeds(false)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
	// Permission on two of the three isn't enough either.
	for _, address := range seedAddresses[:2] {
		c.wipe(address)
	}
	for _, address := range seedAddresses[:2] {
		c.start(address, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

func TestBootstrap_HappensOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startSeeds(true)
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 1)
	for _, address := range seedAddresses {
		is.Equal(c.voterSet(address).Number, uint64(1))
	}
}

// newClusterOfTwoSeeds starts two of the three seeds with permission to bootstrap, and
// runs them for a second.
func newClusterOfTwoSeeds() *cluster {
	c := newCluster()
	for _, address := range seedAddresses[:2] {
		c.start(address, seedAddresses, true)
	}
	c.run(time.Second)
	return c
}

// A seed that is restarted before the bootstrap, with settings that don't give the
// permission any more, has it on its disk.
func TestBootstrap_PermissionIsKeptOnDisk(t *testing.T) {
	is := is.New(t)
	c := newClusterOfTwoSeeds()
	c.stop(seedAddresses[1])
	c.start(seedAddresses[1], seedAddresses, false)
	c.run(time.Second)
	c.start(seedAddresses[2], seedAddresses, true)
	c.run(5 * time.Second)
	is.Equal(c.bootstrapCount(), 1)
}

// A seed whose disk was wiped has lost the permission with it.
func TestBootstrap_PermissionIsLostWithDisk(t *testing.T) {
	is := is.New(t)
	c := newClusterOfTwoSeeds()
	c.wipe(seedAddresses[1])
	c.start(seedAddresses[1], seedAddresses, false)
	c.start(seedAddresses[2], seedAddresses, true)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// The three seeds come back blank beside a cluster whose stores run elsewhere and are
// out of their reach, but one of them hears of a proxy with an accepted configuration.
func TestBootstrap_RefusedOnceAcceptedConfigurationIsSeen(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startSeeds(true)
	proxy := membership.Member{ID: "proxy-7", Role: membership.Proxy, Address: "10.0.0.77:1", RunID: 1, Incarnation: 1, Revision: 12}
	c.step(seedAddresses[2], event.Received{From: proxy.Address, Message: membership.Heartbeat{Self: proxy}})
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
	is.True(slices.ContainsFunc(c.logged, func(entry event.LogEntry) bool {
		return entry.Event == logBootstrapRejected || entry.Event == logBootstrapWaiting
	}))
	// The sign is kept on the disk: the proxy needn't be there at the next start.
	for _, address := range seedAddresses {
		c.stop(address)
		c.start(address, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// Two seeds whose settings still give the permission are wiped beside the running
// cluster, and reach only each other.
func TestBootstrap_RefusedForWipedSeedsOfRunningCluster(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	c.startSeeds(true)
	c.run(5 * time.Second)
	third := seedAddresses[2]
	c.isDropped = func(from, to ids.Address) bool { return from != to && (from == third || to == third) }
	for _, address := range seedAddresses[:2] {
		c.wipe(address)
		c.start(address, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 1)
}
