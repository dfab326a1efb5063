package store

import (
	"fmt"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// newRunningCluster returns a cluster of three voters that keep 300 registers, with
// standbys that have had the time to copy them.
func newRunningCluster(t *testing.T, standbys ...ids.Address) *cluster {
	t.Helper()
	c := newCluster()
	c.startSeeds(true)
	c.run(5 * time.Second)
	for i := range 300 {
		c.step(seedAddresses[0], event.Received{
			From:    clientAddress,
			Message: consensus.Request{ID: uint64(i + 1), Key: ids.RegisterKey(fmt.Sprint("k", i)), Op: opPut, Arg: []byte("v"), TimeoutMillis: 3000},
		})
	}
	c.run(time.Second)
	for _, address := range standbys {
		c.start(address, seedAddresses, false)
	}
	c.run(4 * time.Second)
	return c
}

// request submits a request to a store and runs the cluster until the response.
func (c *cluster) request(at ids.Address, key ids.RegisterKey, op consensus.Op, argument []byte) consensus.Response {
	c.nextID++
	request := consensus.Request{ID: 1<<40 + c.nextID, Key: key, Op: op, Arg: argument, TimeoutMillis: 3000}
	c.step(at, event.Received{From: clientAddress, Message: request})
	for range 200 {
		c.run(tickInterval)
		for _, response := range c.responses {
			if response.ID == request.ID {
				return response
			}
		}
	}
	return consensus.Response{Outcome: consensus.Indeterminate}
}

// put changes a register through a store, and fails the test unless it succeeded.
func (c *cluster) put(t *testing.T, at ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(at, key, opPut, []byte(value)); r.Outcome != consensus.Succeeded {
		t.Fatalf("put %s at %s: %s", key, at, r.Outcome)
	}
}

// requireValue checks that a register still has the value that was acknowledged.
func (c *cluster) requireValue(t *testing.T, at ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(at, key, consensus.Read, nil); r.Outcome != consensus.Succeeded || string(r.Result) != value {
		t.Fatalf("read of %s at %s: %s %q, acknowledged was %q", key, at, r.Outcome, r.Result, value)
	}
}

// leave tells a store to end within 5 s.
func (c *cluster) leave(at ids.Address) { c.step(at, Leave{GracePeriod: 5 * time.Second}) }

// runUntilMayStop runs the cluster until a store may stop, and returns how long it
// took since a time. It fails the test if that takes 6 s or more.
func (c *cluster) runUntilMayStop(t *testing.T, at ids.Address, since ids.Time) time.Duration {
	t.Helper()
	for c.mayStopAt[at] == 0 && c.now.Sub(since) < 6*time.Second {
		c.run(tickInterval)
	}
	if c.mayStopAt[at] == 0 {
		t.Fatalf("%s may not stop after %s", at, c.now.Sub(since))
	}
	return c.mayStopAt[at].Sub(since)
}

// declareDead makes the other stores' membership lists count a store as gone, as a
// registry's declaration of death does.
func (c *cluster) declareDead(at ids.Address) {
	for to, s := range c.stores {
		for _, m := range s.All() {
			if m.Address == at && to != at {
				m.Dead = true
				c.step(to, event.Received{From: to, Message: membership.Snapshot{Members: []membership.Member{m}, Final: true}})
			}
		}
	}
}
