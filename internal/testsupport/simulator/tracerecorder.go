package simulator

import (
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"strings"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/proxy"
)

// TraceHeader is the first line of a recorded trace: all that its machine was
// made with.
type TraceHeader struct {
	Roll       membership.Options
	Random     [2]uint64
	Store, Run uint64
	PlanEvery  time.Duration
	Lease      time.Duration
	// Bootstrap: a store had leave to found.
	Bootstrap bool
}

// machine makes the machine of a role.
func (h TraceHeader) machine(storage *disk) event.Machine {
	random := rand.New(rand.NewPCG(h.Random[0], h.Random[1]))
	switch h.Roll.Self.Role {
	case membership.Store:
		return store.New(store.Options{Options: h.Roll, StoreID: h.Store, RunNumber: h.Run, Storage: storage, Random: random, Bootstrap: h.Bootstrap})
	case membership.Registry:
		return registry.New(registry.Options{Options: h.Roll, Random: random, PlanEvery: h.PlanEvery})
	}
	return proxy.New(h.Roll, proxy.ControlOptions{Lease: h.Lease})
}

// record records this run of a process from its start, if that was asked for.
func (p *process) record(h TraceHeader) {
	into := p.w.Traces[p.name]
	if into == nil || p.generation != 1 {
		return
	}
	raw, err := appendValue(nil, reflect.ValueOf(h), 0)
	if err == nil {
		_, err = fmt.Fprintf(into, "# %x\n", raw)
	}
	p.machine = &traceRecorder{Machine: p.machine, p: p, into: into, until: p.w.TraceFor, err: err}
}

// traceRecorder writes what one process's machine receives and wants done
// until a time.
type traceRecorder struct {
	event.Machine
	p     *process
	into  io.Writer
	until time.Duration
	err   error
}

// Step passes an event to the machine and records it with its commands.
func (r *traceRecorder) Step(now ids.Time, ev event.Event) []event.Command {
	line := writeEvent(now, ev)
	out := r.Machine.Step(now, ev)
	if r.err != nil || time.Duration(r.p.w.now) > r.until {
		return out
	}
	// A step without commands needs no line for them.
	if len(out) > 0 {
		line += "\n" + writeCommands(out)
	}
	_, r.err = fmt.Fprintln(r.into, line)
	return out
}

// ReplayRecorded makes the machine of a trace and replays the trace to it.
func ReplayRecorded(header string, trace io.Reader) (int, error) {
	var h TraceHeader
	raw, err := hex.DecodeString(strings.TrimSpace(strings.TrimPrefix(header, "# ")))
	if err == nil {
		err = decodeValue(raw, reflect.ValueOf(&h).Elem())
	}
	if err != nil {
		return 0, fmt.Errorf("trace header %.80q: %w", header, err)
	}
	d := newDisk(nil)
	return ReplayTrace(&replayDisk{Machine: h.machine(d), disk: d, wait: map[uint64][]event.Record{}}, trace)
}

// replayDisk keeps the records that a machine syncs, and has them on disk once
// the trace says that they are synced.
type replayDisk struct {
	event.Machine
	disk *disk
	wait map[uint64][]event.Record
	done uint64
}

func (s *replayDisk) Step(now ids.Time, ev event.Event) []event.Command {
	if e, ok := ev.(event.Synced); ok {
		for ; s.done <= e.Batch; s.done++ {
			for _, r := range s.wait[s.done] {
				s.disk.records[r.Key] = r.Value
			}
			delete(s.wait, s.done)
		}
	}
	out := s.Machine.Step(now, ev)
	for _, c := range out {
		if w, ok := c.(event.Sync); ok {
			s.wait[w.Batch] = append(s.wait[w.Batch], w.Records...)
		}
	}
	return out
}
