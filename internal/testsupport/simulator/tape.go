package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/proxy"
)

// Head is the first line of a daybook: all that its machine was made with.
type Head struct {
	Roll       membership.Options
	Dice       [2]uint64
	Store, Run uint64
	PlanEvery  time.Duration
	Lease      time.Duration
	// Bootstrap: a store had leave to found.
	Bootstrap bool
}

// machine makes the machine of a role.
func (h Head) machine(shelf *disk) event.Machine {
	dice := rand.New(rand.NewPCG(h.Dice[0], h.Dice[1]))
	switch h.Roll.Self.Role {
	case membership.Store:
		return store.New(store.Options{Options: h.Roll, Store: h.Store, Run: h.Run, Storage: shelf, Random: dice, Bootstrap: h.Bootstrap})
	case membership.Registry:
		return registry.New(registry.Options{Options: h.Roll, Random: dice, PlanEvery: h.PlanEvery})
	}
	return proxy.New(h.Roll, proxy.Options{Lease: h.Lease})
}

// tape records this run of a process from its start, if that was asked for.
func (p *proc) tape(h Head) {
	into := p.w.Tape[p.name]
	if into == nil || p.gen != 1 {
		return
	}
	raw, err := json.Marshal(h)
	if err == nil {
		_, err = fmt.Fprintf(into, "# %s\n", raw)
	}
	p.machine = &recording{Machine: p.machine, p: p, into: into, until: p.w.TapeFor, err: err}
}

// Replay makes the machine of a daybook and plays it.
func Replay(head string, book io.Reader) (int, error) {
	var h Head
	if len(head) < 2 || json.Unmarshal([]byte(head[2:]), &h) != nil {
		return 0, fmt.Errorf("no head: %.80s", head)
	}
	d := newDisk(nil)
	return Play(&shelved{Machine: h.machine(d), disk: d, wait: map[uint64][]event.Record{}}, book)
}

// shelved keeps what a machine settles, and has it on the shelf once the
// daybook says that it was synced.
type shelved struct {
	event.Machine
	disk *disk
	wait map[uint64][]event.Record
	done uint64
}

func (s *shelved) Step(now ids.Time, ev event.Event) []event.Command {
	if e, ok := ev.(event.Synced); ok {
		for ; s.done <= e.Turn; s.done++ {
			for _, r := range s.wait[s.done] {
				s.disk.records[r.Key] = r.Value
			}
			delete(s.wait, s.done)
		}
	}
	out := s.Machine.Step(now, ev)
	for _, c := range out {
		if w, ok := c.(event.Sync); ok {
			s.wait[w.Turn] = append(s.wait[w.Turn], w.Records...)
		}
	}
	return out
}
