package store

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/testsupport/memorydisk"
)

const (
	// unknownAddress is an address that belongs to no known store.
	unknownAddress = ids.Address("10.9.9.9:1")
	// testTime is the time of the steps in tests of a single voter.
	testTime = ids.Time(time.Second)
)

// threeVoters is a voter set after three changes.
var threeVoters = consensus.VoterSet{Number: 4, Voters: []consensus.Voter{
	{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.3:1"},
}}

// newVoter returns a store that is one of threeVoters, and its disk.
func newVoter() (*Store, memorydisk.Disk) {
	disk := memorydisk.Disk{}
	s := New(Options{
		Options: membership.Options{Self: membership.Member{ID: "store-1", Address: "10.0.0.1:1", RunID: 5, Incarnation: 1}},
		StoreID: 1, RunNumber: 3, Storage: disk, Random: rand.New(rand.NewPCG(1, 1)), Replicas: 3,
	})
	s.AdoptVoterSet(threeVoters)
	s.MarkComplete()
	performCommands(s, disk, s.Step(testTime, event.Tick{}))
	return s, disk
}

// performCommands executes a store's commands, and those that result from them. It returns
// the messages that were sent, and the received ones that were discarded.
func performCommands(s *Store, disk memorydisk.Disk, commands []event.Command) (sent []event.Send, discarded []event.Discarded) {
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		switch c := c.(type) {
		case event.Sync:
			disk.Write(c.Records)
			commands = append(append(commands, c.After...), s.Step(testTime, event.Synced{Batch: c.Batch})...)
		case event.Send:
			sent = append(sent, c)
		case event.Discarded:
			discarded = append(discarded, c)
		}
	}
	return sent, discarded
}

// deliver passes a message to a store and executes the resulting commands.
func deliver(s *Store, disk memorydisk.Disk, from ids.Address, msg any) ([]event.Send, []event.Discarded) {
	return performCommands(s, disk, s.Step(testTime, event.Received{From: from, Message: msg}))
}

// persistedRecords copies the records of a disk, except the saved membership list.
func persistedRecords(disk memorydisk.Disk) map[ids.RegisterKey]string {
	records := map[ids.RegisterKey]string{}
	for k, v := range disk {
		if k != memberCacheKey {
			records[k] = string(v)
		}
	}
	return records
}
