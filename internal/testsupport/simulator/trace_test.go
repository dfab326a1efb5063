package simulator

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
)

var recordTraces = flag.Bool("record", false, "record the traces anew, after a change that is meant")

// recordedMachines are those whose traces are kept: each in the midst of trouble.
var recordedMachines = []string{"store-2", "registry-1", "proxy-3"}

// Recorded traces of the three machines, with all the slices in them (roll,
// rounds, registers, target table, plans), are replayed: same events, same commands.
func TestRecordedTraces(t *testing.T) {
	is := is.New(t)
	traces := map[string]*bytes.Buffer{}
	if *recordTraces {
		p := Options{Seed: 3, Length: 20 * time.Second, Traces: map[string]io.Writer{}, TraceFor: 13 * time.Second, FaultEvery: 700 * time.Millisecond}
		for _, n := range recordedMachines {
			traces[n] = &bytes.Buffer{}
			p.Traces[n] = traces[n]
		}
		Run(p)
	}
	for _, n := range recordedMachines {
		file := filepath.Join("testdata", n+".trace.gz")
		if *recordTraces {
			var packed bytes.Buffer
			z := gzip.NewWriter(&packed)
			_, err := z.Write(traces[n].Bytes())
			is.NoErr(err)
			is.NoErr(z.Close())
			is.NoErr(os.MkdirAll("testdata", 0o755))
			is.NoErr(os.WriteFile(file, packed.Bytes(), 0o644))
		}
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		z, err := gzip.NewReader(bytes.NewReader(raw))
		is.NoErr(err)
		trace := bufio.NewReader(z)
		header, err := trace.ReadString('\n')
		is.NoErr(err)
		lines, err := ReplayRecorded(header, trace)
		if err != nil {
			t.Errorf("%s: %v", n, err)
		}
		t.Logf("%s: %d lines", n, lines)
		is.True(lines > 300)
	}
}

// A machine that does one thing otherwise is found out at that very line.
func TestReplayTrace_DetectsChange(t *testing.T) {
	is := is.New(t)
	trace := "5 tick\n6 tick\n< cbf29ce484222325 \n"
	line, err := ReplayTrace(noopMachine{}, bytes.NewReader([]byte(trace)))
	is.True(err != nil)
	is.Equal(line, 3)
}

// The hash over a step's commands notices each value that is changed in one,
// also deep within, and nothing of a log entry but that it is there.
func TestWriteCommands_HashDetectsChange(t *testing.T) {
	is := is.New(t)
	same := func(a, b event.Command) bool {
		x, y := writeCommands([]event.Command{a}), writeCommands([]event.Command{b})
		is.Equal(writeCommands([]event.Command{a}), x)
		return x == y
	}
	synced := func(turn uint64, key ids.RegisterKey, value []byte, then ...event.Command) event.Command {
		return event.Sync{Batch: turn, Records: []event.Record{{Key: key, Value: value}}, After: then}
	}
	base := synced(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})
	is.True(same(base, synced(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, synced(2, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, synced(1, "b", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, synced(1, "a", nil, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, synced(1, "a", []byte{}, event.Send{To: "y", Message: spill.Report{Number: 1}})))
	is.True(!same(base, synced(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 2}})))
	is.True(!same(base, synced(1, "a", []byte{})))

	stock := func(capacity int, limit time.Duration) event.Command {
		return proxy.DispatchEvent{Service: "s", Event: dispatch.ServiceState{DefaultCapacity: capacity, Terms: map[ids.Name]dispatch.RouteTerms{"a": {TimeLimit: limit}, "b": {}}}}
	}
	is.True(same(stock(1, 2), stock(1, 2)))
	is.True(!same(stock(1, 2), stock(2, 2)))
	is.True(!same(stock(1, 2), stock(1, 3)))
	response := func(body any) event.Command { return registry.Response{ID: 1, Status: 200, Body: body} }
	is.True(!same(response(map[string]any{"known": true}), response(map[string]any{"known": false})))
	is.True(!same(response(nil), response(map[string]any{})))

	is.True(same(event.LogEntry{Level: "info", Event: "a"}, event.LogEntry{Event: "b", Fields: []string{"c"}}))
	is.True(writeCommands([]event.Command{event.LogEntry{}}) != writeCommands([]event.Command{event.LogEntry{}, event.LogEntry{}}))
}

// Every kind of event comes back from its line as it was, nil and empty apart.
func TestWriteEvent_RoundTrip(t *testing.T) {
	is := is.New(t)
	for _, ev := range []event.Event{
		event.Tick{},
		event.Synced{Batch: 1 << 63},
		registry.ChangeCall{Raw: []byte{}},
		registry.ChangeCall{ID: 3},
		registry.MergeCall{ID: 4},
		store.Leave{GracePeriod: -time.Second},
		proxy.UsageSample{Rows: []spill.ServiceUsage{}, Requests: 9},
		proxy.UsageSample{LatencyP95: 5},
		event.Received{From: "x", Message: spill.Report{Number: 7}},
	} {
		now, got, err := readEvent(writeEvent(12, ev))
		is.NoErr(err)
		is.Equal(now, ids.Time(12))
		is.Equal(got, ev)
	}
	_, _, err := readEvent(writeEvent(12, event.LogEntry{}))
	is.True(err != nil) // not an event
}

type noopMachine struct{}

func (noopMachine) Step(ids.Time, event.Event) []event.Command { return nil }
