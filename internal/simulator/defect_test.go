package simulator

import (
	"bytes"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/consensus"
	"dunlinwell/internal/dispatch"
	"dunlinwell/internal/distribution"
	"dunlinwell/internal/idempotency"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/policy"
	"dunlinwell/internal/proxy"
	"dunlinwell/internal/spill"
	"dunlinwell/internal/targets"
)

// alwaysYours lets every claim stand, whoever has the mark.
func alwaysYours(key ids.Key, old, arg []byte) ([]byte, []byte) {
	_, out := idempotency.Ops()[idempotency.OpClaim](key, nil, arg)
	return old, out
}

// half applies the first part of a change alone.
func half(key ids.Key, old, arg []byte) ([]byte, []byte) {
	if i := bytes.Index(arg, []byte(`,{"kind":"route"`)); i > 0 && bytes.Contains(arg, []byte("shelf-")) {
		arg = append(append([]byte{}, arg[:i]...), "]}"...)
	}
	return policy.Ops()[policy.OpChange](key, old, arg)
}

// pushes spoils what registries push to proxies.
func pushes(spoil func(p *distribution.Push)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if p, ok := msg.(distribution.Push); ok {
			p.Targets = append(p.Targets[:0:0], p.Targets...)
			spoil(&p)
			return p, true
		}
		return msg, true
	}
}

func swap(old, new string) func(p *distribution.Push) {
	return func(p *distribution.Push) { p.Policy = bytes.ReplaceAll(p.Policy, []byte(old), []byte(new)) }
}

// tables spoils the plans that registries tell one another.
func tables(spoil func(*spill.Table)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if t, ok := msg.(spill.Table); ok {
			spoil(&t)
			return t, true
		}
		return msg, true
	}
}

// reversed moves the other end of the tiers.
func reversed(in []spill.Move) []spill.Move {
	other := map[ids.Name]ids.Name{"way-0": "way-1", "way-1": "way-2", "way-2": "way-0"}
	out := slices.Clone(in)
	for i := range out {
		out[i].Route = other[out[i].Route]
	}
	return out
}

// farther sends everything to one end of the world.
func farther(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for i := range out {
		for _, to := range []ids.Name{"cell-e1", "cell-d1", "cell-c1"} {
			if out[i].From != to {
				out[i].To = to
			}
		}
	}
	return out
}

// crossed sends others' traffic of every route into a cell whose own is away.
func crossed(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for _, m := range in {
		for _, route := range []ids.Name{"way-0", "way-1", "way-2"} {
			out = append(out, spill.Move{From: m.To, To: m.From, Route: route, Fraction: 0.95})
		}
	}
	return out
}

// deaf proxies hear nothing from one another, and of no target's interval.
func deaf(from, to string, msg any) (any, bool) {
	if _, hearsay := msg.(proxy.LeaseGossip); hearsay {
		return nil, false
	}
	return pushes(func(p *distribution.Push) {
		for i := range p.Targets {
			p.Targets[i].Interval = 1e6
		}
	})(from, to, msg)
}

// lostAfterCalm breaks half of all answers once a calm while has earned retries:
// targets that break some are left alone, so that faults by lot hardly ever ask
// for more retries than there may be.
func lostAfterCalm(w *World) {
	w.later(18*time.Second, func() {
		for _, t := range w.pool {
			t.spoil = 0.5
		}
	})
}

// Every checker catches the mistake it is there for.
func TestCheckersBite(t *testing.T) {
	for name, c := range map[string]struct {
		want   string
		defect Defect
		rate   float64
		script func(*World)
		lease  time.Duration
		hot    bool
	}{
		"double run":    {want: "run twice", defect: Defect{Ops: map[consensus.Op]consensus.ChangeFunc{idempotency.OpClaim: alwaysYours}}},
		"half a change": {want: "reads back as", defect: Defect{Ops: map[consensus.Op]consensus.ChangeFunc{policy.OpChange: half}}},
		"forgotten": {want: "was known|reads back as|given to", defect: Defect{DiskForgets: true}, script: func(w *World) {
			// Every store loses power at once, again and again.
			w.every(8*time.Second, 6*time.Second, 5, func(int) {
				for _, p := range w.procs[:3] {
					w.bounce(p, time.Second)
				}
			})
		}},
		"foreign target": {want: "got a request meant for", defect: Defect{NoCheck: true, Message: pushes(func(p *distribution.Push) {
			// The proxies never hear of anything but the first runs.
			p.Targets = slices.DeleteFunc(p.Targets, func(t targets.Target) bool { return t.Incarnation > 2001 })
			for i := range p.Targets {
				p.Targets[i].Leaving, p.Targets[i].Gone = false, false
			}
		})}},
		"false busy": {want: "for what ran", defect: Defect{Response: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Unknown {
				r.Class, r.Status = dispatch.Declined, 503
			}
			return r
		}}},
		"foreign answer": {want: "not the target's own", defect: Defect{Response: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Answered {
				r.Sealed.Body = append([]byte("x"), r.Sealed.Body...)
			}
			return r
		}}},
		"not in force": {want: "that another was accepted over", defect: Defect{Message: pushes(func(p *distribution.Push) {
			if p.Revision > 3 {
				p.Policy, p.Revision = nil, 3
			}
		})}},
		"left target": {want: "known gone or leaving", defect: Defect{NoCheck: true, Message: pushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Leaving, p.Targets[i].Gone = false, false
			}
		})}},
		"flood": {want: "flooded", rate: 400, defect: Defect{NoCheck: true, Message: pushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Warmth, p.Targets[i].Age, p.Targets[i].Capacity = 1, 1e6, 200
			}
		})}},
		"retries": {want: "retries past", script: lostAfterCalm, defect: Defect{Message: pushes(swap(`"allowance":10`, `"allowance":900`))}},
		// Leases without end: a proxy that is cut off serves on.
		"marks forgotten": {want: "run twice", defect: Defect{KeepMarks: 300 * time.Millisecond}, script: func(w *World) {
			// Proposers remember for a while what disks forgot: they restart.
			responsesLost(w)
			w.every(time.Second, 900*time.Millisecond, 36, func(i int) { w.bounce(w.procs[i%3], 150*time.Millisecond) })
		}},
		"emptied in a split": {want: "emptied over", lease: time.Hour, script: emptiedInSplit},
		// Nor does it mind a silence, or ask another proxy.
		"unheard of":          {want: "known gone or leaving", lease: time.Hour, script: goneButRunning, defect: Defect{Message: deaf}},
		"moved in a split":    {want: "that another was accepted over", lease: time.Hour, rate: 200, script: movedInSplit, defect: Defect{Message: deaf}},
		"held circuit closed": {want: "held circuit", hot: true, defect: Defect{CloseHeld: true}},
		"urgent routes moved": {want: "urgent route moved", hot: true, defect: Defect{Message: tables(func(t *spill.Table) { t.Moves = reversed(t.Moves) })}},
		"far cells first":     {want: "move to a far cell", hot: true, defect: Defect{Message: tables(func(t *spill.Table) { t.Moves = farther(t.Moves) })}},
		"others' traffic first": {want: "before calling its own home", hot: true, defect: Defect{Message: tables(func(t *spill.Table) {
			// From time to time, so that it is seen to begin.
			if t.Number%4 >= 2 {
				t.Moves = crossed(t.Moves)
			}
		})}},
		"lease without end": {want: "cut off, answered", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
		"deaf planner":      {want: "have planned for", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
		"emptied cell":      {want: "emptied", defect: Defect{Message: pushes(swap(`"emptied":true`, `"emptied":false`))}},
		"not restored": {want: "15 s after", defect: Defect{Message: func(_, to string, msg any) (any, bool) {
			_, push := msg.(distribution.Push)
			return msg, !push || to != "proxy-1" && to != "proxy-2" && to != "proxy-3"
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found, bite := false, regexp.MustCompile(c.want)
			for seed := uint64(1); seed <= 8 && !found; seed++ {
				p := Params{Seed: seed, Length: 40 * time.Second, Defect: c.defect, Rate: c.rate, Script: c.script, Lease: c.lease}
				if c.hot {
					p = Hot(seed)
					p.Length = 420 * time.Second // long enough for moves to begin, and more to come
					p.Defect = c.defect
				}
				for _, k := range Run(p).Counts {
					found = found || k.Count > 0 && bite.MatchString(k.What+"\n"+strings.Join(k.More, "\n"))
				}
			}
			is.True(found) // the planted defect was seen
		})
	}
}
