package consensus

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// randomText gives so many bytes that no part of is like another.
func randomText(random *rand.Rand, n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + random.IntN(26))
	}
	return out
}

// openStore is an acceptor of one store, whose disk can be read again.
func openStore(mem memoryDisk) *testStore {
	r := &testStore{disk: mem}
	r.Acceptor = NewAcceptor(1, mem, &r.Outbox)
	return r
}

// sync carries out what the disk was asked for, and gives the bytes written.
func (r *testStore) sync() int {
	n := 0
	for _, c := range r.Drain() {
		if s, ok := c.(event.Sync); ok {
			r.disk.write(s.Records)
			for _, rec := range s.Records {
				n += len(rec.Value)
			}
			r.Acceptor.Synced(s.Batch)
		}
	}
	return n
}

// However a register comes about, a restart finds the very state.
func TestRegister_SurvivesRestart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	r := openStore(memoryDisk{})
	value := randomText(random, 6000)
	for i := range 1500 {
		b := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
		next := RegisterState{Promised: b, Accepted: b, Value: value}
		switch {
		case i%50 == 49:
			next.Accepted = r.registerState("x").Accepted // a promise alone
		case i%400 == 399:
			value = randomText(random, 100+random.IntN(20000))
		default:
			at := random.IntN(len(value))
			value = slices.Replace(slices.Clone(value), at, min(len(value), at+random.IntN(30)), randomText(random, random.IntN(32))...)
		}
		if next.Accepted == b {
			next.Value = value
		} else {
			next.Value = r.registerState("x").Value
		}
		r.saveRegister("x", next)
		r.sync()
		is.NoErr(CheckDisk(r.disk))
		got, err := loadRegister(r.disk, "x")
		is.NoErr(err)
		is.Equal(got, *r.registers["x"])
		is.True(bytes.Equal(got.Value, next.Value))
		is.Equal(got.Accepted, next.Accepted)
		is.Equal(got.Promised, next.Promised)
		is.True(got.changeBytes <= max(len(got.Value), 1<<14)) // folded in time
	}
}

// What a change writes goes by the change, not by the value.
func TestRegister_DiskBytesFollowTheChange(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	for _, size := range []int{300_000, 1_500_000, 4_500_000} {
		r := openStore(memoryDisk{})
		value := randomText(random, size)
		written := 0
		for i := range 301 {
			b := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
			value = slices.Clone(value)
			copy(value[random.IntN(len(value)-300):], randomText(random, 300))
			r.saveRegister("x", RegisterState{Promised: b, Accepted: b, Value: value})
			if n := r.sync(); i > 0 {
				written += n
			}
		}
		t.Logf("value of %d bytes: %d bytes synced a change", size, written/300)
		is.True(written/300 < 600)
	}
}

// A folder of an earlier version is one whole record without a checksum.
func TestRegister_ReadsRecordOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	b := ids.Ballot{Counter: 1 << 41, Proposer: 7}
	old := RegisterState{Promised: b, Accepted: b, Value: randomText(random, 9000)}
	raw, err := wire.Encode(old)
	is.NoErr(err)
	mem := memoryDisk{"item/policy": raw, "item/mark/r/1": []byte("anything")}
	is.NoErr(CheckDisk(mem))
	r := openStore(mem)
	is.Equal(r.registerState("policy"), old)
	next := old
	next.Accepted.Counter++
	next.Value = append(slices.Clone(old.Value), "and more"...)
	r.saveRegister("policy", next)
	is.True(r.sync() < 200)
	is.Equal(openStore(mem).registerState("policy"), next)
	is.Equal(mem["item/policy"], raw) // the base stays
}

// Whatever is damaged, cut short or missing is found at the start, and a store
// that can't read what it voted for takes no part.
func TestCheckDisk_FindsDamage(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	whole := memoryDisk{}
	r := openStore(whole)
	r.MarkComplete()
	r.AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}}})
	value := randomText(random, 5000)
	for i := range 5 {
		b := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
		value = append(slices.Clone(value), fmt.Sprint("change ", i)...)
		r.saveRegister("policy", RegisterState{Promised: b, Accepted: b, Value: value})
	}
	r.sync()
	is.NoErr(CheckDisk(whole))
	is.Equal(len(whole), 7)
	sound := openStore(maps.Clone(whole))
	sound.HandlePrepare("a", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50}, VoterSetNumber: 1})
	is.Equal(len(sound.Drain()), 1) // it votes
	for key, raw := range whole {
		if strings.HasPrefix(string(key), "meta/") {
			continue
		}
		for name, spoil := range map[string]func(memoryDisk){
			"missing":      func(m memoryDisk) { delete(m, key) },
			"cut short":    func(m memoryDisk) { m[key] = raw[:len(raw)-1] },
			"cut in half":  func(m memoryDisk) { m[key] = raw[:len(raw)/2] },
			"empty":        func(m memoryDisk) { m[key] = nil },
			"flipped":      func(m memoryDisk) { m[key] = flipByte(raw, len(raw)/2) },
			"newer format": func(m memoryDisk) { m[key] = flipByte(raw, 4) },
		} {
			m := maps.Clone(whole)
			spoil(m)
			// The last change gone is an older state of the disk, which no disk can
			// tell by itself.
			if last := changeKey("policy", 3); name == "missing" && key == last {
				continue
			}
			if err := CheckDisk(m); err == nil {
				t.Errorf("%s %s: not found", key, name)
			}
			again := openStore(m)
			log, ok := again.Drain()[0].(event.LogEntry)
			is.True(ok && log.Level == event.LevelError && strings.Contains(string(log.Event), "unreadable"))
			again.HandlePrepare("a", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50}, VoterSetNumber: 1})
			is.Equal(len(again.Drain()), 0)
		}
	}
}

func flipByte(raw []byte, at int) []byte {
	out := slices.Clone(raw)
	out[at] ^= 0x55
	return out
}
