package consensus

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
	"dunlinwell/internal/transport/wire"
)

// After every change, the register loaded from disk equals the one in memory.
func TestRegister_SurvivesRestart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	s := newTestAcceptor(1, memorydisk.Disk{})
	value := randomText(random, 6000)
	for i := range 1500 {
		ballot := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
		next := RegisterState{Promised: ballot, Accepted: ballot, Value: value}
		switch {
		case i%50 == 49:
			next.Accepted = s.registerState("x").Accepted // only a promise
		case i%400 == 399:
			value = randomText(random, 100+random.IntN(20000))
		default:
			at := random.IntN(len(value))
			value = slices.Replace(slices.Clone(value), at, min(len(value), at+random.IntN(30)), randomText(random, random.IntN(32))...)
		}
		if next.Accepted == ballot {
			next.Value = value
		} else {
			next.Value = s.registerState("x").Value
		}
		s.saveRegister("x", next)
		s.syncAll()
		is.NoErr(CheckDisk(s.disk))
		got, err := loadRegister(s.disk, "x")
		is.NoErr(err)
		is.Equal(got, *s.registers["x"])
		is.True(bytes.Equal(got.Value, next.Value))
		is.Equal(got.Accepted, next.Accepted)
		is.Equal(got.Promised, next.Promised)
		is.True(got.changeBytes <= max(len(got.Value), 1<<14)) // changes are compacted
	}
}

// The number of bytes written for a change depends on the size of the change, not of the value.
func TestRegister_DiskBytesDependOnChangeSize(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	for _, size := range []int{300_000, 1_500_000, 4_500_000} {
		s := newTestAcceptor(1, memorydisk.Disk{})
		value := randomText(random, size)
		for i := range 301 {
			ballot := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
			value = slices.Clone(value)
			copy(value[random.IntN(len(value)-300):], randomText(random, 300))
			s.saveRegister("x", RegisterState{Promised: ballot, Accepted: ballot, Value: value})
			s.syncAll()
			if i == 0 {
				s.bytesSynced = 0 // exclude the base
			}
		}
		t.Logf("value of %d bytes: %d bytes synced per change", size, s.bytesSynced/300)
		is.True(s.bytesSynced/300 < 600)
	}
}

// Earlier versions wrote each register as a single record without a checksum.
func TestRegister_ReadsRecordOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	ballot := ids.Ballot{Counter: 1 << 41, Proposer: 7}
	old := RegisterState{Promised: ballot, Accepted: ballot, Value: randomText(random, 9000)}
	raw, err := wire.Encode(old)
	is.NoErr(err)
	disk := memorydisk.Disk{"item/policy": raw, "item/mark/r/1": []byte("anything")}
	is.NoErr(CheckDisk(disk))
	s := newTestAcceptor(1, disk)
	is.Equal(s.registerState("policy"), old)
	next := old
	next.Accepted.Counter++
	next.Value = append(slices.Clone(old.Value), "and more"...)
	s.saveRegister("policy", next)
	s.syncAll()
	is.True(s.bytesSynced < 200)
	is.Equal(newTestAcceptor(1, disk).registerState("policy"), next)
	is.Equal(disk["item/policy"], raw) // the base is not rewritten
}
