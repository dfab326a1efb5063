package simulator

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/wire"
)

// A daybook is a recorded trace of one machine: every event that came to it in
// a seed, and, for each, what it wanted done. Played to a machine made the same
// way, it shows the first step at which anything has changed.

// events are those that a daybook can hold beside messages.
var events = map[string]reflect.Type{}

func init() {
	for _, e := range []any{event.Tick{}, event.Synced{}, registry.ChangeCall{}, registry.PolicyCall{}, registry.ResolveCall{}, registry.HeartbeatCall{},
		registry.StatusCall{}, registry.Stopping{}, store.RecoverRequest{}, store.Leave{}, proxy.Asked{}, proxy.Meter{}, proxy.Stopping{}} {
		events[fmt.Sprintf("%T", e)] = reflect.TypeOf(e)
	}
}

// writeEvent gives an event as one line.
func writeEvent(now ids.Time, ev event.Event) (string, error) {
	if h, ok := ev.(event.Received); ok {
		raw, err := wire.Encode(h.Msg)
		return fmt.Sprintf("%d heard %s %T %s", now, h.From, h.Msg, hex.EncodeToString(raw)), err
	}
	raw, err := json.Marshal(ev)
	return fmt.Sprintf("%d %T %s", now, ev, raw), err
}

// readEvent reads such a line.
func readEvent(line string) (ids.Time, event.Event, error) {
	w := strings.SplitN(line, " ", 3)
	if len(w) < 3 {
		return 0, nil, fmt.Errorf("no event: %q", line)
	}
	n, err := strconv.ParseInt(w[0], 10, 64)
	if err != nil {
		return 0, nil, err
	}
	if w[1] == "heard" {
		p := strings.Split(w[2], " ")
		raw, err := hex.DecodeString(p[len(p)-1])
		if err != nil {
			return 0, nil, err
		}
		_, msg, err := wire.ReadBytes(raw)
		return ids.Time(n), event.Received{From: ids.Address(p[0]), Msg: msg}, err
	}
	kind, ok := events[w[1]]
	if !ok {
		return 0, nil, fmt.Errorf("no event %q", w[1])
	}
	ev := reflect.New(kind)
	err = json.Unmarshal([]byte(w[2]), ev.Interface())
	return ids.Time(n), ev.Elem().Interface(), err
}

// writeCommands gives what a step wants done: each command's kind, and a sum
// over all that they say.
func writeCommands(out []event.Command) string {
	h := fnv.New32a()
	var kinds []string
	for _, c := range out {
		kinds = append(kinds, name(c))
		raw, err := json.Marshal(said(c))
		if err != nil {
			raw = []byte(err.Error())
		}
		h.Write(raw)
	}
	return fmt.Sprintf("< %08x %s", h.Sum32(), strings.Join(kinds, " "))
}

// name is a command's kind, and that of the message or event in it.
func name(c event.Command) string {
	switch c := c.(type) {
	case event.Send:
		return fmt.Sprintf("send:%T", c.Msg)
	case proxy.DispatchEvent:
		return fmt.Sprintf("desk:%T", c.Event)
	case event.LogEntry:
		return "note:" + strings.ReplaceAll(c.Event, " ", "-")
	}
	return fmt.Sprintf("%T", c)
}

// said is what a command says, without the functions that some carry.
func said(c event.Command) any {
	switch c := c.(type) {
	case event.Sync:
		var then []any
		for _, t := range c.Then {
			then = append(then, said(t))
		}
		return []any{c.Turn, c.Records, then}
	case event.Send:
		raw, err := wire.Encode(c.Msg)
		return []any{c.To, raw, err}
	case proxy.DispatchEvent:
		if s, ok := c.Event.(dispatch.Stock); ok {
			return []any{c.Service, s}
		}
	}
	return c
}

// recording writes what one process's machine sees until a time.
type recording struct {
	event.Machine
	p     *proc
	into  io.Writer
	until time.Duration
	err   error
}

func (r *recording) Step(now ids.Time, ev event.Event) []event.Command {
	line, err := writeEvent(now, ev)
	out := r.Machine.Step(now, ev)
	if r.err == nil && time.Duration(r.p.w.now) <= r.until {
		if _, r.err = fmt.Fprintln(r.into, line); err != nil {
			r.err = err
		}
		// What wants nothing done needs no line.
		if len(out) > 0 && r.err == nil {
			_, r.err = fmt.Fprintln(r.into, writeCommands(out))
		}
	}
	return out
}

// Play plays a daybook to a machine, and gives the first line that differs.
func Play(m event.Machine, book io.Reader) (int, error) {
	lines := bufio.NewScanner(book)
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
