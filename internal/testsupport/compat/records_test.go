package compat

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/testsupport/memorydisk"
)

// writeSample has an acceptor accept the results of the sample operations, with ballots from 1. It
// returns the final values and the response to each operation.
func writeSample(t *testing.T, disk memorydisk.Disk) (values map[ids.RegisterKey][]byte, responses [][]byte) {
	t.Helper()
	var out event.Outbox
	acceptor := consensus.NewAcceptor(1, disk, &out)
	acceptor.AdoptVoterSet(consensus.VoterSet{
		Number: 3, Voters: []consensus.Voter{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}},
		Previous: []consensus.Voter{{ID: 9, Address: "10.0.0.9:1"}}, Learners: []uint64{2}, LossCount: 1,
	})
	acceptor.MarkComplete()
	values = map[ids.RegisterKey][]byte{}
	ops, count := store.Ops(), uint64(0)
	for _, o := range append(sampleConfigurationOperations(), sampleRegisterOperations(t)...) {
		next, response := ops[o.op](o.key, values[o.key], o.arg)
		if response == nil {
			t.Fatalf("%s: no response to %.80s", o.key, o.arg)
		}
		values[o.key] = next
		responses = append(responses, response)
		count++
		ballot := ids.Ballot{Counter: count, Proposer: 1<<24 | 5}
		acceptor.HandleAccept("10.0.0.2:1", consensus.Accept{Key: o.key, Ballot: ballot, NextBallot: ids.Ballot{Counter: count + 1, Proposer: ballot.Proposer}, VoterSetNumber: 3, Value: next})
		for _, command := range out.Drain() {
			if sync, ok := command.(event.Sync); ok {
				disk.Write(sync.Records)
			}
		}
	}
	return values, responses
}

// TestRecords_Encoding checks that the keys and bytes of a store's records are unchanged: voter set,
// disk state, leader elections, idempotency keys, and the configuration as a base with deltas.
func TestRecords_Encoding(t *testing.T) {
	is := is.New(t)
	disk := memorydisk.Disk{}
	values, responses := writeSample(t, disk)
	got := map[string]string{}
	for key, raw := range disk {
		got["record "+string(key)] = hex.EncodeToString(raw)
	}
	for key, value := range values {
		got["value "+string(key)] = hex.EncodeToString(value)
	}
	for i, answer := range responses {
		got[fmt.Sprintf("answer %02d", i)] = hex.EncodeToString(answer)
	}
	checkGolden(t, "records.txt", got)
	is.True(strings.HasPrefix(got["record diff/policy/00000000"], "6477"))
}

// TestRecords_Decoding checks that an acceptor reads the golden values from the golden records.
func TestRecords_Decoding(t *testing.T) {
	is := is.New(t)
	disk, values := memorydisk.Disk{}, map[ids.RegisterKey][]byte{}
	for name, text := range readGolden(t, "testdata/records.txt") {
		raw, err := hex.DecodeString(text)
		is.NoErr(err)
		kind, key, _ := strings.Cut(name, " ")
		switch kind {
		case "record":
			disk[ids.RegisterKey(key)] = raw
		case "value":
			values[ids.RegisterKey(key)] = raw
		}
	}
	is.NoErr(consensus.CheckDisk(disk))
	var out event.Outbox
	acceptor := consensus.NewAcceptor(1, disk, &out)
	is.Equal(acceptor.VoterSet().Number, uint64(3))
	is.Equal(acceptor.VoterSet().Learners, []uint64{2})
	is.Equal(acceptor.VoterSet().Previous[0].Address, ids.Address("10.0.0.9:1"))
	is.Equal(acceptor.DiskState(), consensus.Complete)
	is.True(len(values) > 4)
	for key, want := range values {
		t.Run(fmt.Sprint(key), func(t *testing.T) {
			_, value := acceptor.AcceptedValue(key)
			is.New(t).Equal(string(value), string(want))
		})
	}
}
