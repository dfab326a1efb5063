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

// newRunningCluster returns a cluster of three voters with 300 registers, and with standbys
// that have had time to copy them.
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

// request submits a request to a store and runs the cluster until the response arrives. It
// returns an indeterminate outcome if none does.
func (c *cluster) request(address ids.Address, key ids.RegisterKey, op consensus.Op, argument []byte) consensus.Response {
	c.nextID++
	request := consensus.Request{ID: 1<<40 + c.nextID, Key: key, Op: op, Arg: argument, TimeoutMillis: 3000}
	c.step(address, event.Received{From: clientAddress, Message: request})
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

// put writes a register through a store, and fails the test unless that succeeds.
func (c *cluster) put(t *testing.T, address ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(address, key, opPut, []byte(value)); r.Outcome != consensus.Succeeded {
		t.Fatalf("put %s at %s: %s", key, address, r.Outcome)
	}
}

// requireValue fails the test unless a register still has the acknowledged value.
func (c *cluster) requireValue(t *testing.T, address ids.Address, key ids.RegisterKey, value string) {
	t.Helper()
	if r := c.request(address, key, consensus.Read, nil); r.Outcome != consensus.Succeeded || string(r.Result) != value {
		t.Fatalf("read %s at %s: got %s %q, want the acknowledged value %q", key, address, r.Outcome, r.Result, value)
	}
}

// leave tells a store to shut down within 5 s.
func (c *cluster) leave(address ids.Address) { c.step(address, Leave{GracePeriod: 5 * time.Second}) }

// runUntilMayStop runs the cluster until a store may stop, and returns the time from since
// until then. It fails the test if that takes 6 s or more.
func (c *cluster) runUntilMayStop(t *testing.T, address ids.Address, since ids.Time) time.Duration {
	t.Helper()
	for c.mayStopAt[address] == 0 && c.now.Sub(since) < 6*time.Second {
		c.run(tickInterval)
	}
	if c.mayStopAt[address] == 0 {
		t.Fatalf("%s did not emit MayStop within %s", address, c.now.Sub(since))
	}
	return c.mayStopAt[address].Sub(since)
}

// declareDead marks a store as dead in the membership lists of the other stores, as a
// registry's declaration does.
func (c *cluster) declareDead(address ids.Address) {
	for to, s := range c.stores {
		for _, m := range s.All() {
			if m.Address == address && to != address {
				m.Dead = true
				c.step(to, event.Received{From: to, Message: membership.Snapshot{Members: []membership.Member{m}, Final: true}})
			}
		}
	}
}
