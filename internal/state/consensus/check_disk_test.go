package consensus

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// CheckDisk reports every damaged, truncated or missing record, and an acceptor on such a disk
// never responds: it could break a promise that it can't read.
func TestCheckDisk_FindsDamage(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	intact := memorydisk.Disk{}
	s := newTestAcceptor(1, intact)
	s.MarkComplete()
	s.AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}}})
	value := randomText(random, 5000)
	for i := range 5 {
		ballot := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
		value = append(slices.Clone(value), fmt.Sprint("change ", i)...)
		s.saveRegister("policy", RegisterState{Promised: ballot, Accepted: ballot, Value: value})
	}
	s.syncAll()
	is.NoErr(CheckDisk(intact))
	is.Equal(len(intact), 7)
	healthy := newTestAcceptor(1, maps.Clone(intact))
	healthy.HandlePrepare("a", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50}, VoterSetNumber: 1})
	is.Equal(len(healthy.Drain()), 1) // it responds
	for key, raw := range intact {
		if strings.HasPrefix(string(key), "meta/") {
			continue
		}
		for name, damage := range map[string]func(memorydisk.Disk){
			"missing":        func(d memorydisk.Disk) { delete(d, key) },
			"one byte short": func(d memorydisk.Disk) { d[key] = raw[:len(raw)-1] },
			"truncated":      func(d memorydisk.Disk) { d[key] = raw[:len(raw)/2] },
			"empty":          func(d memorydisk.Disk) { d[key] = nil },
			"corrupted byte": func(d memorydisk.Disk) { d[key] = flipByte(raw, len(raw)/2) },
			"newer format":   func(d memorydisk.Disk) { d[key] = flipByte(raw, 4) },
		} {
			// Without the last change, the disk is valid: it equals its state before that change.
			if last := changeKey("policy", 3); name == "missing" && key == last {
				continue
			}
			t.Run(string(key)+" "+name, func(t *testing.T) {
				disk := maps.Clone(intact)
				damage(disk)
				checkDamageIsDetected(t, disk)
			})
		}
	}
}

func checkDamageIsDetected(t *testing.T, disk memorydisk.Disk) {
	t.Helper()
	is := is.New(t)
	if err := CheckDisk(disk); err == nil {
		t.Error("CheckDisk returned no error")
	}
	damaged := newTestAcceptor(1, disk)
	log, ok := damaged.Drain()[0].(event.LogEntry)
	is.True(ok && log.Level == event.LevelError && log.Event == EventRegisterUnreadable)
	damaged.HandlePrepare("a", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50}, VoterSetNumber: 1})
	is.Equal(len(damaged.Drain()), 0)
}

// CheckDisk wraps the error that identifies the kind of damage.
func TestCheckDisk_WrapsCause(t *testing.T) {
	intact := memorydisk.Disk{}
	s := newTestAcceptor(1, intact)
	s.AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}}})
	value := randomText(rand.New(rand.NewPCG(3, 4)), 5000)
	for i := range 3 {
		ballot := ids.Ballot{Counter: uint64(i) + 1<<41, Proposer: 1}
		value = append(slices.Clone(value), "more"...)
		s.saveRegister("policy", RegisterState{Promised: ballot, Accepted: ballot, Value: value})
	}
	s.syncAll()
	base, firstChange := ids.RegisterKey("item/policy"), changeKey("policy", 0)
	for name, c := range map[string]struct {
		damage func(memorydisk.Disk)
		want   error
	}{
		"corrupted byte": {func(d memorydisk.Disk) { d[base] = flipByte(d[base], len(d[base])-1) }, ErrChecksumMismatch},
		"one byte short": {func(d memorydisk.Disk) { d[firstChange] = d[firstChange][:len(d[firstChange])-1] }, ErrLengthMismatch},
		"wrong type":     {func(d memorydisk.Disk) { d[base] = d[firstChange] }, ErrUnknownFormat},
		"missing change": {func(d memorydisk.Disk) { delete(d, firstChange) }, ErrMissingChange},
		"missing base":   {func(d memorydisk.Disk) { delete(d, base) }, ErrMissingBase},
		"voter set":      {func(d memorydisk.Disk) { d[voterSetRecordKey] = []byte("no record") }, ErrDamaged},
		"disk state":     {func(d memorydisk.Disk) { d[diskStateKey] = []byte("no record") }, ErrDamaged},
	} {
		t.Run(name, func(t *testing.T) {
			disk := maps.Clone(intact)
			c.damage(disk)
			if err := CheckDisk(disk); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func flipByte(raw []byte, at int) []byte {
	out := slices.Clone(raw)
	out[at] ^= 0x55
	return out
}
