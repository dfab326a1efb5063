package desk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/till"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

// A recorded trace: "TIME > event" lines are played, and the "< command" lines
// under each must be just what the desk wants done, in that order.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) { playFile(t, f) })
	}
}

func playFile(t *testing.T, name string) {
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	d := New(Params{Dice: rand.New(rand.NewPCG(1, 1)), Self: till.Owner{Daemon: "c1", Start: 1}})
	p := &player{}
	var got, want []string
	check := func(line int) {
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("before line %d:\ngot\n  %s\nwant\n  %s", line, strings.Join(got, "\n  "), strings.Join(want, "\n  "))
		}
		got, want = nil, nil
	}
	lines := strings.Split(string(raw), "\n")
	for n, line := range lines {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "< "):
			want = append(want, line[2:])
		default:
			check(n)
			at, words, _ := strings.Cut(line, " > ")
			span, err := time.ParseDuration(at)
			if err != nil {
				t.Fatalf("line %d: %v", n+1, err)
			}
			now := ticket.Tick(span) + 1
			for _, ev := range p.event(t, now, strings.Fields(words)) {
				for _, c := range d.Step(now, ev) {
					got = append(got, strings.TrimSpace(p.command(c)))
				}
			}
		}
	}
	check(len(lines))
}

// player turns words into events and commands into words. It remembers turns,
// so that traces needn't name them.
type player struct{ turns [100]uint32 }

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// args reads key=value words.
func args(words []string) map[string]string {
	out := map[string]string{}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			v = "yes"
		}
		out[k] = v
	}
	return out
}

func (p *player) event(t *testing.T, now ticket.Tick, w []string) []works.Event {
	a := args(w[1:])
	id := func() ticket.Request { return ticket.Request(number(t, w[1])) }
	switch w[0] {
	case "stock":
		return []works.Event{stock(t, now, a)}
	case "arrive":
		j := Job{ID: id(), Route: "r", Service: "s", Tier: 5, Attempt: 1, Due: now.Add(5 * time.Second), Terms: Terms{Service: ticket.Name(a["terms"])}, Repeatable: a["mark"] == "", Mark: ticket.Mark(a["mark"]), Print: []byte(a["print"])}
		if a["try"] != "" {
			j.Attempt = uint32(number(t, a["try"]))
		}
		if a["tier"] != "" {
			j.Tier = number(t, a["tier"])
		}
		if a["due"] != "" {
			span, _ := time.ParseDuration(a["due"])
			j.Due = now.Add(span)
		}
		return []works.Event{Arrive{j}}
	case "told":
		return []works.Event{p.told(t, id(), a)}
	case "back":
		how := map[string]How{"sealed": Sealed, "maybe": Maybe, "notsent": NotSent}[w[2]]
		return []works.Event{Back{ID: id(), Turn: p.turns[id()], How: how, Response: till.Response{Status: 200, Body: []byte("body")}, Why: w[2]}}
	case "lease":
		span, err := time.ParseDuration(a["for"])
		if err != nil {
			t.Fatal(err)
		}
		return []works.Event{Lease{Until: now.Add(span)}}
	case "clock":
		return []works.Event{works.ClockEvent{}}
	}
	t.Fatalf("no event %q", w[0])
	return nil
}

func (p *player) told(t *testing.T, id ticket.Request, a map[string]string) Told {
	e := Told{ID: id, Turn: p.turns[id], State: ledger.Done}
	s := till.Slip{Print: []byte(a["print"])}
	if a["owner"] != "" {
		s.Owner = till.Owner{Daemon: ticket.Daemon(a["owner"]), Start: 1}
	}
	switch {
	case a["over"] != "":
		s.State, s.Response = till.Over, till.Response{Status: 200, Body: []byte(a["over"])}
	case a["running"] != "":
		s.State = till.Claimed
	}
	if a["entered"] != "" {
		s.Entered = uint32(number(t, a["entered"]))
	}
	verdicts := map[string]till.Verdict{"yours": till.Yours, "running": till.Running, "over": till.Ended, "barred": till.Barred, "unlike": till.Unlike, "free": till.Free}
	if a["slip"] != "" {
		e.Out, _ = parcel.Pack(s)
		return e
	}
	for k, v := range verdicts {
		if a[k] != "" {
			e.Out, _ = parcel.Pack(till.Result{Verdict: v, Slip: s})
		}
	}
	if a["uncertain"] != "" {
		e.State = ledger.Uncertain
	}
	return e
}

func stock(t *testing.T, now ticket.Tick, a map[string]string) Stock {
	s := Stock{Capacity: 2, InStep: a["outofstep"] == "", Closed: a["closed"] != "", Lease: now.Add(time.Hour), Allowance: 2,
		Terms: map[ticket.Name]Terms{"r": {Service: ticket.Name(a["terms"])}},
		Ended: func(d ticket.Daemon, _ ticket.Start) bool { return d == "gone" }}
	if span, err := time.ParseDuration(a["lease"]); err == nil {
		s.Lease = now.Add(span)
	}
	for _, n := range strings.Split(a["targets"], ",") {
		if n == "" {
			continue
		}
		o := Offer{Target: yard.Target{Instance: ticket.Instance(n), Warmth: 1, Age: 1e6, Capacity: 1}, At: now, Seats: 1}
		o.Leaving = n == a["leaving"]
		o.Distance = float64(len(n))
		s.Targets = append(s.Targets, o)
	}
	return s
}

func (p *player) command(c works.Command) string {
	switch c := c.(type) {
	case Wish:
		ops := map[ledger.Op]string{ledger.Read: "look", till.OpClaim: "claim", till.OpBar: "bar", till.OpRelease: "release", till.OpOutcome: "outcome", till.OpEnter: "enter"}
		if c.Turn == 0 {
			return fmt.Sprintf("%s in passing %s", ops[c.Op], c.Key)
		}
		p.turns[c.ID] = c.Turn
		return fmt.Sprintf("%s %d %s", ops[c.Op], c.ID, c.Key)
	case Ferry:
		p.turns[c.ID] = c.Turn
		fresh := ""
		if c.Fresh {
			fresh = " fresh"
		}
		return fmt.Sprintf("ferry %d to %s%s", c.ID, c.Target.Instance, fresh)
	case Response:
		return fmt.Sprintf("reply %d %s %d %q retry=%d %s", c.ID, []string{"", "declined", "unknown", "answered", "misused"}[c.Class], c.Status, c.Why, c.After/time.Second, c.Sealed.Body)
	}
	return fmt.Sprintf("%T", c)
}
