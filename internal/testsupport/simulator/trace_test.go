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

var recordTraces = flag.Bool("record", false, "record the traces again after an intended change of behavior")

// recordedMachines are the machines whose traces are in testdata.
var recordedMachines = []string{"store-2", "registry-1", "proxy-3"}

// Guards against unintended changes of behavior: a store, a registry and a proxy must produce the
// recorded commands for the recorded events.
func TestRecordedTraces(t *testing.T) {
	is := is.New(t)
	traces := map[string]*bytes.Buffer{}
	if *recordTraces {
		p := Options{Seed: 3, Length: 20 * time.Second, Traces: map[string]io.Writer{}, TraceUntil: 13 * time.Second, FaultEvery: 700 * time.Millisecond}
		for _, name := range recordedMachines {
			traces[name] = &bytes.Buffer{}
			p.Traces[name] = traces[name]
		}
		Run(p)
	}
	for _, name := range recordedMachines {
		file := filepath.Join("testdata", name+".trace.gz")
		if *recordTraces {
			var compressed bytes.Buffer
			z := gzip.NewWriter(&compressed)
			_, err := z.Write(traces[name].Bytes())
			is.NoErr(err)
			is.NoErr(z.Close())
			is.NoErr(os.MkdirAll("testdata", 0o755))
			is.NoErr(os.WriteFile(file, compressed.Bytes(), 0o644))
		}
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		z, err := gzip.NewReader(bytes.NewReader(raw))
		is.NoErr(err)
		trace := bufio.NewReader(z)
		header, err := trace.ReadString('\n')
		is.NoErr(err)
		lines, err := ReplayRecordedTrace(header, trace)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		t.Logf("%s: %d lines", name, lines)
		is.True(lines > 300)
	}
}

// A replay fails at the line of the first difference.
func TestReplayTrace_DetectsChange(t *testing.T) {
	is := is.New(t)
	trace := "5 tick\n6 tick\n< cbf29ce484222325 \n"
	line, err := ReplayTrace(noopMachine{}, bytes.NewReader([]byte(trace)))
	is.True(err != nil)
	is.Equal(line, 3)
}

// The hash over a step's commands depends on every value in them, including nested ones, but not on
// the content of log entries.
func TestWriteCommands_HashDetectsChange(t *testing.T) {
	is := is.New(t)
	same := func(a, b event.Command) bool {
		x, y := writeCommands([]event.Command{a}), writeCommands([]event.Command{b})
		is.Equal(writeCommands([]event.Command{a}), x)
		return x == y
	}
	syncCommand := func(batch uint64, key ids.RegisterKey, value []byte, after ...event.Command) event.Command {
		return event.Sync{Batch: batch, Records: []event.Record{{Key: key, Value: value}}, After: after}
	}
	base := syncCommand(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})
	is.True(same(base, syncCommand(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, syncCommand(2, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, syncCommand(1, "b", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, syncCommand(1, "a", nil, event.Send{To: "x", Message: spill.Report{Number: 1}})))
	is.True(!same(base, syncCommand(1, "a", []byte{}, event.Send{To: "y", Message: spill.Report{Number: 1}})))
	is.True(!same(base, syncCommand(1, "a", []byte{}, event.Send{To: "x", Message: spill.Report{Number: 2}})))
	is.True(!same(base, syncCommand(1, "a", []byte{})))

	serviceState := func(capacity int, limit time.Duration) event.Command {
		return proxy.DispatchEvent{Service: "s", Event: dispatch.ServiceState{DefaultCapacity: capacity, RouteRules: map[ids.Name]dispatch.RouteRules{"a": {TimeLimit: limit}, "b": {}}}}
	}
	is.True(same(serviceState(1, 2), serviceState(1, 2)))
	is.True(!same(serviceState(1, 2), serviceState(2, 2)))
	is.True(!same(serviceState(1, 2), serviceState(1, 3)))
	response := func(body any) event.Command { return registry.Response{ID: 1, Status: 200, Body: body} }
	is.True(!same(response(map[string]any{"known": true}), response(map[string]any{"known": false})))
	is.True(!same(response(nil), response(map[string]any{})))

	is.True(same(event.LogEntry{Level: "info", Event: "a"}, event.LogEntry{Event: "b", Fields: []string{"c"}}))
	is.True(writeCommands([]event.Command{event.LogEntry{}}) != writeCommands([]event.Command{event.LogEntry{}, event.LogEntry{}}))
}

// Events survive encoding and decoding, with nil and empty slices kept apart.
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
