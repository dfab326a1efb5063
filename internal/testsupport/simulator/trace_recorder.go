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

// TraceHeader is the first line of a recorded trace: the options of the recorded machine.
type TraceHeader struct {
	Membership         membership.Options
	Random             [2]uint64
	StoreID, RunNumber uint64
	PlanEvery          time.Duration
	Lease              time.Duration
	// Bootstrap reports whether a store was permitted to bootstrap.
	Bootstrap bool
}

// machine returns a new machine with these options.
func (t TraceHeader) machine(storage *disk) event.StateMachine {
	random := rand.New(rand.NewPCG(t.Random[0], t.Random[1]))
	switch t.Membership.Self.Role {
	case membership.Store:
		return store.New(store.Options{Options: t.Membership, StoreID: t.StoreID, RunNumber: t.RunNumber, Storage: storage, Random: random, Bootstrap: t.Bootstrap})
	case membership.Registry:
		return registry.New(registry.Options{Options: t.Membership, Random: random, PlanInterval: t.PlanEvery})
	}
	return proxy.New(t.Membership, proxy.ControlOptions{Lease: t.Lease})
}

// record makes the first run of a process record a trace if Options.Traces contains the process.
func (p *process) record(header TraceHeader) {
	output := p.world.Traces[p.name]
	if output == nil || p.generation != 1 {
		return
	}
	raw, err := appendValue(nil, reflect.ValueOf(header), 0)
	if err == nil {
		_, err = fmt.Fprintf(output, "# %x\n", raw)
	}
	p.machine = &traceRecorder{StateMachine: p.machine, process: p, output: output, until: p.world.TraceUntil, err: err}
}

// traceRecorder records the events that a machine receives and its commands until a virtual time.
type traceRecorder struct {
	event.StateMachine
	process *process
	output  io.Writer
	until   time.Duration
	err     error
}

// Step passes an event to the machine and records it with its commands.
func (r *traceRecorder) Step(now ids.Time, ev event.Event) []event.Command {
	line := writeEvent(now, ev)
	out := r.StateMachine.Step(now, ev)
	if r.err != nil || time.Duration(r.process.world.now) > r.until {
		return out
	}
	// Steps without commands have no commands line.
	if len(out) > 0 {
		line += "\n" + writeCommands(out)
	}
	_, r.err = fmt.Fprintln(r.output, line)
	return out
}

// ReplayRecordedTrace creates the machine described by the header of a trace and replays the trace
// to it.
func ReplayRecordedTrace(header string, trace io.Reader) (int, error) {
	var parsed TraceHeader
	raw, err := hex.DecodeString(strings.TrimSpace(strings.TrimPrefix(header, "# ")))
	if err == nil {
		err = decodeValue(raw, reflect.ValueOf(&parsed).Elem())
	}
	if err != nil {
		return 0, fmt.Errorf("trace header %.80q: %w", header, err)
	}
	storage := newDisk(nil)
	return ReplayTrace(&replayDisk{StateMachine: parsed.machine(storage), disk: storage, unsynced: map[uint64][]event.Record{}}, trace)
}

// replayDisk holds the records that a machine syncs, and writes them to its disk when the trace
// contains the Synced event.
type replayDisk struct {
	event.StateMachine
	disk     *disk
	unsynced map[uint64][]event.Record
	// nextBatch is the lowest batch that is not synced yet.
	nextBatch uint64
}

// Step passes an event to the machine.
func (r *replayDisk) Step(now ids.Time, ev event.Event) []event.Command {
	if e, ok := ev.(event.Synced); ok {
		for ; r.nextBatch <= e.Batch; r.nextBatch++ {
			for _, synced := range r.unsynced[r.nextBatch] {
				r.disk.records[synced.Key] = synced.Value
			}
			delete(r.unsynced, r.nextBatch)
		}
	}
	out := r.StateMachine.Step(now, ev)
	for _, c := range out {
		if sync, ok := c.(event.Sync); ok {
			r.unsynced[sync.Batch] = append(r.unsynced[sync.Batch], sync.Records...)
		}
	}
	return out
}
