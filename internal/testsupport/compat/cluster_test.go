package compat

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/storage"
)

// storeAddresses holds the addresses of the three stores.
var storeAddresses = []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

// clientAddress is the address that responses to operations are sent to.
const clientAddress = ids.Address("10.0.0.99:1")

// envelope is a message in transit.
type envelope struct {
	from, to ids.Address
	msg      any
}

// cluster is a cluster of three stores on real storage, with a lossless network.
type cluster struct {
	now     ids.Time
	stores  map[ids.Address]*store.Store
	disks   map[ids.Address]*storage.Database
	queue   []envelope
	answers map[uint64]consensus.Response
}

// newCluster starts three stores on empty folders, the first one on folder.
func newCluster(t *testing.T, folder string) *cluster {
	t.Helper()
	c := &cluster{now: ids.Time(time.Second), stores: map[ids.Address]*store.Store{}, disks: map[ids.Address]*storage.Database{}, answers: map[uint64]consensus.Response{}}
	for i, address := range storeAddresses {
		if i > 0 {
			folder = t.TempDir()
		}
		disk, err := storage.OpenChecked(folder, func(d *storage.Database) error { return consensus.CheckDisk(d) })
		if err != nil {
			t.Fatal(err)
		}
		c.disks[address] = disk
		self := membership.Member{ID: ids.DaemonID("store-" + string('1'+rune(i))), Role: membership.Store, Address: address, Zone: "north", RunID: 1, Incarnation: 1}
		c.stores[address] = store.New(store.Options{
			Options: membership.Options{Self: self, Seeds: storeAddresses}, Replicas: 3,
			StoreID: disk.StoreID, RunNumber: disk.RunNumber, Storage: disk, Random: rand.New(rand.NewPCG(uint64(i), 1)), Bootstrap: true,
		})
	}
	return c
}

// close closes the databases of all stores.
func (c *cluster) close(t *testing.T) {
	t.Helper()
	for _, disk := range c.disks {
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// runCommands executes commands of the store at an address.
func (c *cluster) runCommands(t *testing.T, at ids.Address, commands []event.Command) {
	t.Helper()
	for _, command := range commands {
		switch x := command.(type) {
		case event.Send:
			c.queue = append(c.queue, envelope{at, x.To, x.Message})
		case event.Sync:
			if err := c.disks[at].Write(x.Records); err != nil {
				t.Fatal(err)
			}
			c.runCommands(t, at, x.After)
			c.runCommands(t, at, c.stores[at].Step(c.now, event.Synced{Batch: x.Batch}))
		}
	}
}

// run advances the time until a condition holds, and fails the test after 20 s of simulated time.
func (c *cluster) run(t *testing.T, condition func() bool) {
	t.Helper()
	for end := c.now.Add(20 * time.Second); !condition(); c.now = c.now.Add(20 * time.Millisecond) {
		if c.now > end {
			t.Fatal("condition not reached in 20 s of simulated time")
		}
		for _, address := range storeAddresses {
			c.runCommands(t, address, c.stores[address].Step(c.now, event.Tick{}))
		}
		c.deliver(t)
	}
}

// deliver delivers all messages in transit.
func (c *cluster) deliver(t *testing.T) {
	t.Helper()
	for len(c.queue) > 0 {
		e := c.queue[0]
		c.queue = c.queue[1:]
		if s := c.stores[e.to]; s != nil {
			c.runCommands(t, e.to, s.Step(c.now, event.Received{From: e.from, Message: e.msg}))
		} else if r, ok := e.msg.(consensus.Response); ok && e.to == clientAddress {
			c.answers[r.ID] = r
		}
	}
}

// execute sends an operation to the first store and waits for its success.
func (c *cluster) execute(t *testing.T, o operation) {
	t.Helper()
	id := uint64(len(c.answers) + 1)
	c.queue = append(c.queue, envelope{clientAddress, storeAddresses[0], consensus.Request{ID: id, Key: o.key, Op: o.op, Arg: o.arg, TimeoutMillis: 2000, Attempt: 1}})
	c.run(t, func() bool { _, answered := c.answers[id]; return answered })
	if c.answers[id].Outcome != consensus.Succeeded {
		t.Fatalf("%s: %s", o.key, c.answers[id].Outcome)
	}
}
