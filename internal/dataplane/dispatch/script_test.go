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

// scriptRunner turns words into events and commands into words. It remembers turns,
// so that traces needn't name them.
type scriptRunner struct{ sequences [100]uint32 }

func parseNumber(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// parseArgs reads key=value words.
func parseArgs(words []string) map[string]string {
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

func (r *scriptRunner) parseEvent(t *testing.T, now ids.Time, w []string) []event.Event {
	a := parseArgs(w[1:])
	id := func() ids.RequestID { return ids.RequestID(parseNumber(t, w[1])) }
	switch w[0] {
	case "stock":
		return []event.Event{parseServiceState(t, now, a)}
	case "arrive":
		j := Job{ID: id(), Route: "r", Service: "s", Tier: 5, Attempt: 1, Deadline: now.Add(5 * time.Second), Terms: RouteTerms{Service: ids.Name(a["terms"])}, Repeatable: a["mark"] == "", IdempotencyKey: ids.IdempotencyKey(a["mark"]), Fingerprint: []byte(a["print"])}
		if a["try"] != "" {
			j.Attempt = uint32(parseNumber(t, a["try"]))
		}
		if a["tier"] != "" {
			j.Tier = parseNumber(t, a["tier"])
		}
		if a["due"] != "" {
			span, _ := time.ParseDuration(a["due"])
			j.Deadline = now.Add(span)
		}
		return []event.Event{RequestArrived{applyJobArgs(t, j, a)}}
	case "told":
		return []event.Event{r.parseReply(t, id(), a)}
	case "back":
		how := map[string]AttemptResult{"sealed": Complete, "maybe": MayHaveRun, "notsent": NotSent, "notrun": NotExecuted, "foreign": WrongTarget, "failed": TargetFailed}[w[2]]
		b := AttemptFinished{ID: id(), Sequence: r.sequences[id()], Result: how, Response: idempotency.Response{Status: 200, Body: []byte("body")}, Reason: w[2]}
		if how == TargetFailed {
			b.Response = idempotency.Response{Status: 500, Body: []byte("failure")}
		}
		if a["running"] != "" {
			b.LoadReported, b.Running, b.Waiting, b.Slots = true, int64(parseNumber(t, a["running"])), 0, int64(parseNumber(t, a["slots"]))
		}
		return []event.Event{b}
	case "lease":
		span, err := time.ParseDuration(a["for"])
		if err != nil {
			t.Fatal(err)
		}
		return []event.Event{LeaseUpdated{ExpiresAt: now.Add(span)}}
	case "clock":
		return []event.Event{event.Tick{}}
	}
	t.Fatalf("no event %q", w[0])
	return nil
}

func (r *scriptRunner) parseReply(t *testing.T, id ids.RequestID, a map[string]string) IdempotencyReply {
	e := IdempotencyReply{ID: id, Sequence: r.sequences[id], Outcome: consensus.Succeeded}
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
		s.NumberedAttempts = uint32(parseNumber(t, a["entered"]))
	}
	verdicts := map[string]idempotency.Verdict{"yours": idempotency.Granted, "running": idempotency.InProgress, "over": idempotency.AlreadyCompleted, "barred": idempotency.AttemptBlocked, "unlike": idempotency.FingerprintMismatch, "free": idempotency.Released}
	if a["slip"] != "" {
		e.Payload, _ = wire.Encode(s)
		return e
	}
	for k, v := range verdicts {
		if a[k] != "" {
			e.Payload, _ = wire.Encode(idempotency.Result{Verdict: v, Record: s})
		}
	}
	if a["uncertain"] != "" {
		e.Outcome = consensus.Indeterminate
	}
	return e
}

func parseServiceState(t *testing.T, now ids.Time, a map[string]string) ServiceState {
	s := ServiceState{
		DefaultCapacity: 2, IsCurrent: a["outofstep"] == "", OwnZoneDrained: a["closed"] != "", LeaseExpiresAt: now.Add(time.Hour), RetryBudget: 2,
		Terms:    map[ids.Name]RouteTerms{"r": {Service: ids.Name(a["terms"])}},
		RunEnded: func(d ids.DaemonID, _ ids.RunID) bool { return d == "gone" },
	}
	if span, err := time.ParseDuration(a["lease"]); err == nil {
		s.LeaseExpiresAt = now.Add(span)
	}
	for _, n := range strings.Split(a["targets"], ",") {
		if n == "" {
			continue
		}
		n, more, _ := strings.Cut(n, ";")
		o := Allocation{Target: targets.Target{Instance: ids.InstanceID(n), Warmth: 1, AgeMillis: 1e6, Capacity: 1}, AgeMeasuredAt: now, SlotShareCount: 1}
		o.Leaving = n == a["leaving"]
		o.Distance = float64(len(n))
		s.Targets = append(s.Targets, applyTargetArgs(t, now, o, parseArgs(strings.Split(more, ";"))))
	}
	return s
}

// applyJobArgs adds what a route may say besides.
func applyJobArgs(t *testing.T, j Job, a map[string]string) Job {
	j.AtMostOnce = a["single"] != ""
	j.Repeatable = j.Repeatable && !j.AtMostOnce
	if a["goal"] != "" {
		j.LatencyGoal = parseSpan(t, a["goal"])
	}
	if a["attempts"] != "" {
		j.MaxAttempts = parseNumber(t, a["attempts"])
	}
	if a["homes"] != "" {
		for _, h := range strings.Split(a["homes"], ",") {
			j.Homes = append(j.Homes, ids.Name(h))
		}
	}
	return j
}

// applyTargetArgs adds where a target stands and what it bears: "t;at=1;region=n;cold=2s;rate=4".
func applyTargetArgs(t *testing.T, now ids.Time, o Allocation, a map[string]string) Allocation {
	o.Region = ids.Name(a["region"])
	for k, into := range map[string]*int{"seat": &o.SlotShareIndex, "seats": &o.SlotShareCount, "over": &o.Oversubscription} {
		if a[k] != "" {
			*into = parseNumber(t, a[k])
		}
	}
	if a["at"] != "" {
		o.Distance = float64(parseNumber(t, a["at"]))
	}
	if a["bears"] != "" {
		o.Capacity = int64(parseNumber(t, a["bears"]))
	}
	if a["cold"] != "" {
		o.SlowStartUntil = now.Add(parseSpan(t, a["cold"]))
	}
	if a["rate"] != "" {
		o.SlowStartRate = float64(parseNumber(t, a["rate"]))
	}
	return o
}

func parseSpan(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// formatRetryAfter writes whole seconds as a number, and shorter times as they are.
func formatRetryAfter(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.Itoa(int(d / time.Second))
	}
	return d.String()
}

func (r *scriptRunner) formatCommand(c event.Command) string {
	switch c := c.(type) {
	case IdempotencyCall:
		ops := map[consensus.Op]string{consensus.Read: "look", idempotency.OpClaim: "claim", idempotency.OpBlock: "bar", idempotency.OpRelease: "release", idempotency.OpComplete: "outcome", idempotency.OpNumberAttempt: "enter"}
		if c.Sequence == 0 {
			return fmt.Sprintf("%s in passing %s", ops[c.Op], c.Key)
		}
		r.sequences[c.ID] = c.Sequence
		return fmt.Sprintf("%s %d %s", ops[c.Op], c.ID, c.Key)
	case Forward:
		r.sequences[c.ID] = c.Sequence
		fresh := ""
		if c.NewConnection {
			fresh = " fresh"
		}
		if c.RecentOnly {
			fresh += " careful"
		}
		return fmt.Sprintf("ferry %d to %s%s", c.ID, c.Target.Instance, fresh)
	case Response:
		return fmt.Sprintf("reply %d %s %d %q retry=%s %s", c.ID, []string{"", "declined", "unknown", "answered", "misused"}[c.Class], c.Status, c.Reason, formatRetryAfter(c.RetryAfter), c.TargetResponse.Body)
	}
	return fmt.Sprintf("%T", c)
}
