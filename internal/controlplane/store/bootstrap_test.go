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
	// Permission on two of the three seeds isn't enough either.
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

// newClusterOfTwoSeeds returns a cluster in which two of the three seeds have run for a
// second with permission to bootstrap.
func newClusterOfTwoSeeds() *cluster {
	c := newCluster()
	for _, address := range seedAddresses[:2] {
		c.start(address, seedAddresses, true)
	}
	c.run(time.Second)
	return c
}

// A seed that is restarted without the option before the bootstrap still has the permission
// on disk.
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

// Wiping a seed's disk removes the permission.
func TestBootstrap_PermissionIsLostWithDisk(t *testing.T) {
	is := is.New(t)
	c := newClusterOfTwoSeeds()
	c.wipe(seedAddresses[1])
	c.start(seedAddresses[1], seedAddresses, false)
	c.start(seedAddresses[2], seedAddresses, true)
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// Three blank seeds must not bootstrap a second cluster if the stores of the existing one are
// unreachable, but one seed receives a heartbeat of a proxy with an accepted configuration.
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
	// The evidence is persisted, so the proxy isn't needed after a restart.
	for _, address := range seedAddresses {
		c.stop(address)
		c.start(address, seedAddresses, true)
	}
	c.run(time.Minute)
	is.Equal(c.bootstrapCount(), 0)
}

// Two seeds that are wiped and restarted with permission, and are partitioned from the third,
// must not bootstrap a second cluster.
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
