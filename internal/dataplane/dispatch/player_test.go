package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

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

func (p *player) event(t *testing.T, now ids.Time, w []string) []event.Event {
	a := args(w[1:])
	id := func() ids.RequestID { return ids.RequestID(number(t, w[1])) }
	switch w[0] {
	case "stock":
		return []event.Event{stock(t, now, a)}
	case "arrive":
		j := Job{ID: id(), Route: "r", Service: "s", Tier: 5, Attempt: 1, Deadline: now.Add(5 * time.Second), Terms: RouteTerms{Service: ids.Name(a["terms"])}, Repeatable: a["mark"] == "", IdempotencyKey: ids.IdempotencyKey(a["mark"]), Fingerprint: []byte(a["print"])}
		if a["try"] != "" {
			j.Attempt = uint32(number(t, a["try"]))
		}
		if a["tier"] != "" {
			j.Tier = number(t, a["tier"])
		}
		if a["due"] != "" {
			span, _ := time.ParseDuration(a["due"])
			j.Deadline = now.Add(span)
		}
		return []event.Event{RequestArrived{asked(t, j, a)}}
	case "told":
		return []event.Event{p.told(t, id(), a)}
	case "back":
		how := map[string]AttemptResult{"sealed": Complete, "maybe": MayHaveRun, "notsent": NotSent, "notrun": NotExecuted, "foreign": WrongTarget, "failed": TargetFailed}[w[2]]
		b := AttemptFinished{ID: id(), Turn: p.turns[id()], Result: how, Response: idempotency.Response{Status: 200, Body: []byte("body")}, Why: w[2]}
		if how == TargetFailed {
			b.Response = idempotency.Response{Status: 500, Body: []byte("failure")}
		}
		if a["running"] != "" {
			b.Told, b.Running, b.Waiting, b.Slots = true, int64(number(t, a["running"])), 0, int64(number(t, a["slots"]))
		}
		return []event.Event{b}
	case "lease":
		span, err := time.ParseDuration(a["for"])
		if err != nil {
			t.Fatal(err)
		}
		return []event.Event{Lease{Until: now.Add(span)}}
	case "clock":
		return []event.Event{event.Tick{}}
	}
	t.Fatalf("no event %q", w[0])
	return nil
}

func (p *player) told(t *testing.T, id ids.RequestID, a map[string]string) IdempotencyReply {
	e := IdempotencyReply{ID: id, Turn: p.turns[id], Outcome: consensus.Succeeded}
	s := idempotency.Record{Fingerprint: []byte(a["print"])}
	if a["owner"] != "" {
		s.Owner = idempotency.Owner{Daemon: ids.DaemonID(a["owner"]), RunID: 1}
	}
	switch {
	case a["over"] != "":
		s.State, s.Response = idempotency.Completed, idempotency.Response{Status: 200, Body: []byte(a["over"])}
	case a["running"] != "":
		s.State = idempotency.Claimed
	}
	if a["entered"] != "" {
		s.NumberedAttempts = uint32(number(t, a["entered"]))
	}
	verdicts := map[string]idempotency.Verdict{"yours": idempotency.Granted, "running": idempotency.InProgress, "over": idempotency.AlreadyCompleted, "barred": idempotency.AttemptBlocked, "unlike": idempotency.FingerprintMismatch, "free": idempotency.Released}
	if a["slip"] != "" {
		e.Out, _ = wire.Encode(s)
		return e
	}
	for k, v := range verdicts {
		if a[k] != "" {
			e.Out, _ = wire.Encode(idempotency.Result{Verdict: v, Record: s})
		}
	}
	if a["uncertain"] != "" {
		e.Outcome = consensus.Indeterminate
	}
	return e
}

func stock(t *testing.T, now ids.Time, a map[string]string) ServiceState {
	s := ServiceState{
		Capacity: 2, InStep: a["outofstep"] == "", Closed: a["closed"] != "", Lease: now.Add(time.Hour), Allowance: 2,
		Terms: map[ids.Name]RouteTerms{"r": {Service: ids.Name(a["terms"])}},
		Ended: func(d ids.DaemonID, _ ids.RunID) bool { return d == "gone" },
	}
	if span, err := time.ParseDuration(a["lease"]); err == nil {
		s.Lease = now.Add(span)
	}
	for _, n := range strings.Split(a["targets"], ",") {
		if n == "" {
			continue
		}
		n, more, _ := strings.Cut(n, ";")
		o := Offer{Target: targets.Target{Instance: ids.InstanceID(n), Warmth: 1, AgeMillis: 1e6, Capacity: 1}, At: now, Seats: 1}
		o.Leaving = n == a["leaving"]
		o.Distance = float64(len(n))
		s.Targets = append(s.Targets, placed(t, now, o, args(strings.Split(more, ";"))))
	}
	return s
}

// asked adds what a route may say besides.
func asked(t *testing.T, j Job, a map[string]string) Job {
	j.Single = a["single"] != ""
	j.Repeatable = j.Repeatable && !j.Single
	if a["goal"] != "" {
		j.Goal = span(t, a["goal"])
	}
	if a["attempts"] != "" {
		j.Attempts = number(t, a["attempts"])
	}
	if a["homes"] != "" {
		for _, h := range strings.Split(a["homes"], ",") {
			j.Homes = append(j.Homes, ids.Name(h))
		}
	}
	return j
}

// placed adds where a target stands and what it bears: "t;at=1;region=n;cold=2s;rate=4".
func placed(t *testing.T, now ids.Time, o Offer, a map[string]string) Offer {
	o.Region = ids.Name(a["region"])
	for k, into := range map[string]*int{"seat": &o.Seat, "seats": &o.Seats, "over": &o.Over} {
		if a[k] != "" {
			*into = number(t, a[k])
		}
	}
	if a["at"] != "" {
		o.Distance = float64(number(t, a["at"]))
	}
	if a["bears"] != "" {
		o.Capacity = int64(number(t, a["bears"]))
	}
	if a["cold"] != "" {
		o.ColdUntil = now.Add(span(t, a["cold"]))
	}
	if a["rate"] != "" {
		o.Rate = float64(number(t, a["rate"]))
	}
	return o
}

func span(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// after writes whole seconds as a number, and shorter times as they are.
func after(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.Itoa(int(d / time.Second))
	}
	return d.String()
}

func (p *player) command(c event.Command) string {
	switch c := c.(type) {
	case IdempotencyCall:
		ops := map[consensus.Op]string{consensus.Read: "look", idempotency.OpClaim: "claim", idempotency.OpBlock: "bar", idempotency.OpRelease: "release", idempotency.OpComplete: "outcome", idempotency.OpNumberAttempt: "enter"}
		if c.Turn == 0 {
			return fmt.Sprintf("%s in passing %s", ops[c.Op], c.Key)
		}
		p.turns[c.ID] = c.Turn
		return fmt.Sprintf("%s %d %s", ops[c.Op], c.ID, c.Key)
	case Forward:
		p.turns[c.ID] = c.Turn
		fresh := ""
		if c.NewConnection {
			fresh = " fresh"
		}
		if c.Careful {
			fresh += " careful"
		}
		return fmt.Sprintf("ferry %d to %s%s", c.ID, c.Target.Instance, fresh)
	case Response:
		return fmt.Sprintf("reply %d %s %d %q retry=%s %s", c.ID, []string{"", "declined", "unknown", "answered", "misused"}[c.Class], c.Status, c.Why, after(c.RetryAfter), c.Sealed.Body)
	}
	return fmt.Sprintf("%T", c)
}
