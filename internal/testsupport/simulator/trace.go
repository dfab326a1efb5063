package simulator

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
	"strconv"
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/wire"
)

// A recorded trace contains every event that one state machine received in a run and a hash of the
// commands that each event produced. Replaying it to a machine with the same options finds the
// first step whose behavior has changed. It doesn't depend on names of Go types or fields, so that
// they can be renamed.

// eventTypes maps the kinds of events in a trace, except messages, to their types.
var eventTypes = map[string]reflect.Type{
	"tick":          reflect.TypeFor[event.Tick](),
	"synced":        reflect.TypeFor[event.Synced](),
	"change":        reflect.TypeFor[registry.ChangeCall](),
	"policy":        reflect.TypeFor[registry.ReadConfigurationCall](),
	"merge":         reflect.TypeFor[registry.MergeCall](),
	"resolve":       reflect.TypeFor[registry.ResolveCall](),
	"deregister":    reflect.TypeFor[registry.DeregisterCall](),
	"heartbeat":     reflect.TypeFor[registry.HeartbeatCall](),
	"status":        reflect.TypeFor[registry.StatusCall](),
	"cell-order":    reflect.TypeFor[registry.ZoneEvacuationCall](),
	"registry-stop": reflect.TypeFor[registry.Stopping](),
	"recover":       reflect.TypeFor[store.RecoverRequest](),
	"leave":         reflect.TypeFor[store.Leave](),
	"store-request": reflect.TypeFor[proxy.IdempotencyRequest](),
	"meter":         reflect.TypeFor[proxy.UsageSample](),
	"proxy-stop":    reflect.TypeFor[proxy.Stopping](),
}

// commandTypes maps the kinds of commands, and of events within commands, to their types.
var commandTypes = map[string]reflect.Type{
	"sync":           reflect.TypeFor[event.Sync](),
	"send":           reflect.TypeFor[event.Send](),
	"log":            reflect.TypeFor[event.LogEntry](),
	"discarded":      reflect.TypeFor[event.Discarded](),
	"response":       reflect.TypeFor[registry.Response](),
	"recovered":      reflect.TypeFor[store.RecoverResponse](),
	"may-stop":       reflect.TypeFor[store.MayStop](),
	"retire":         reflect.TypeFor[store.Retire](),
	"dispatch":       reflect.TypeFor[proxy.DispatchEvent](),
	"routes":         reflect.TypeFor[proxy.UpdateRoutes](),
	"readiness":      reflect.TypeFor[proxy.ServingState](),
	"targets":        reflect.TypeFor[dispatch.ServiceState](),
	"store-response": reflect.TypeFor[dispatch.IdempotencyReply](),
	"lease":          reflect.TypeFor[dispatch.LeaseUpdated](),
	"terms":          reflect.TypeFor[dispatch.RouteRulesUpdated](),
}

// traceKinds maps the types in eventTypes and commandTypes to their kinds.
var traceKinds = map[reflect.Type]string{}

func init() {
	for _, table := range []map[string]reflect.Type{eventTypes, commandTypes} {
		for kind, t := range table {
			traceKinds[t] = kind
		}
	}
}

// kindOf returns the kind of a message, event or command: the wire kind of a message, the key in
// eventTypes or commandTypes, or "other".
func kindOf(v any) string {
	if k := wire.KindOfMessage(v); k != 0 {
		return strconv.Itoa(int(k))
	}
	if kind, ok := traceKinds[reflect.TypeOf(v)]; ok {
		return kind
	}
	return "other"
}

// commandKind returns the kind of a command, including the kind of the message or event in it.
func commandKind(c event.Command) string {
	switch c := c.(type) {
	case event.Send:
		return "send:" + kindOf(c.Message)
	case proxy.DispatchEvent:
		return "dispatch:" + kindOf(c.Event)
	}
	return kindOf(c)
}

// writeEvent writes an event as one line. An event that can't be encoded becomes a line that fails
// the replay.
func writeEvent(now ids.Time, ev event.Event) string {
	line, err := encodeEvent(ev)
	if err != nil {
		line = "error " + err.Error()
	}
	return fmt.Sprintf("%d %s", now, line)
}

// encodeEvent encodes an event as its kind and hexadecimal value.
func encodeEvent(ev event.Event) (string, error) {
	if m, ok := ev.(event.Received); ok {
		raw, err := wire.Encode(m.Message)
		return fmt.Sprintf("message %s %x", m.From, raw), err
	}
	kind := kindOf(ev)
	if eventTypes[kind] == nil {
		return "", fmt.Errorf("unknown event type %T", ev)
	}
	raw, err := appendValue(nil, reflect.ValueOf(ev), 0)
	return strings.TrimSpace(fmt.Sprintf("%s %x", kind, raw)), err
}

// readEvent parses a line written by writeEvent.
func readEvent(line string) (ids.Time, event.Event, error) {
	at, rest, _ := strings.Cut(line, " ")
	now, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return 0, nil, err
	}
	kind, rest, _ := strings.Cut(rest, " ")
	var from string
	if kind == "message" {
		from, rest, _ = strings.Cut(rest, " ")
	}
	raw, err := hex.DecodeString(rest)
	if err != nil {
		return 0, nil, err
	}
	if kind == "message" {
		_, msg, err := wire.ReadBytes(raw)
		return ids.Time(now), event.Received{From: ids.Address(from), Message: msg}, err
	}
	t, ok := eventTypes[kind]
	if !ok {
		return 0, nil, fmt.Errorf("unknown event kind %q", kind)
	}
	ev := reflect.New(t).Elem()
	err = decodeValue(raw, ev)
	return ids.Time(now), ev.Interface(), err
}

// writeCommands encodes the commands of a step as one line: a hash over all commands and the kind
// of each.
func writeCommands(out []event.Command) string {
	h := fnv.New64a()
	var kinds []string
	for _, c := range out {
		kinds = append(kinds, commandKind(c))
		h.Write(appendCommand(nil, c))
	}
	return fmt.Sprintf("< %016x %s", h.Sum64(), strings.Join(kinds, " "))
}

// appendCommand appends a command's kind and encoding. Log entries are encoded without their
// content, so that their texts can change.
func appendCommand(out []byte, c event.Command) []byte {
	out = appendBytes(out, []byte(commandKind(c)))
	switch c := c.(type) {
	case event.LogEntry:
		return out
	case event.Send:
		if raw, err := wire.Encode(c.Message); err == nil {
			return appendBytes(appendBytes(out, []byte(c.To)), raw)
		}
	case event.Sync:
		out = mustAppend(out, []any{c.Batch, c.Records, len(c.After)})
		for _, after := range c.After {
			out = appendCommand(out, after)
		}
		return out
	}
	return mustAppend(out, c)
}

// mustAppend appends the encoding of a value. It panics if there is none, since the hash would then
// ignore a part of the command.
func mustAppend(out []byte, v any) []byte {
	out, err := appendValue(out, reflect.ValueOf(v), 0)
	if err != nil {
		panic(fmt.Sprintf("encode command for trace: %T: %v", v, err))
	}
	return out
}

// ReplayTrace replays a trace to a machine. It returns the number of lines replayed, or the number
// of the first line that differs and an error.
func ReplayTrace(m event.StateMachine, trace io.Reader) (int, error) {
	lines := bufio.NewScanner(trace)
	lines.Buffer(nil, 16<<20)
	want, got, n, last := "", "", 0, ""
	differs := func() error {
		if want != got {
			return fmt.Errorf("line %d: after %.160s\ngot  %s\nwant %s", n, last, got, want)
		}
		return nil
	}
	for lines.Scan() {
		n++
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "#") || line == "":
		case strings.HasPrefix(line, "< "):
			want = line
		default:
			if err := differs(); err != nil {
				return n, err
			}
			now, ev, err := readEvent(line)
			if err != nil {
				return n, err
			}
			want, got, last = "", "", line
			if out := m.Step(now, ev); len(out) > 0 {
				got = writeCommands(out)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return n, err
	}
	return n, differs()
}
