package simulator

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// Every rule of the checker finds the mistake it is there for, planted as a defect.
func TestCheckersBite(t *testing.T) {
	for name, c := range map[string]struct {
		want   string
		defect Defect
		rate   float64
		script func(*World)
		lease  time.Duration
		hot    bool
	}{
		"double run":    {want: "executed twice", defect: Defect{Ops: map[consensus.Op]consensus.ChangeFunc{idempotency.OpClaim: alwaysGranted}}},
		"half a change": {want: "reads back as", defect: Defect{Ops: map[consensus.Op]consensus.ChangeFunc{configuration.OpChange: applyHalf}}},
		"forgotten": {want: "was known|reads back as|given to", defect: Defect{DiskForgets: true}, script: func(w *World) {
			// Every store loses power at once, again and again.
			w.repeat(8*time.Second, 6*time.Second, 5, func(int) {
				for _, p := range w.processes[:3] {
					w.restartProcess(p, time.Second)
				}
			})
		}},
		"foreign target": {want: "got a request meant for", defect: Defect{SkipIdentityCheck: true, Message: alterPushes(func(p *distribution.Push) {
			// The proxies learn of no incarnation but the first.
			p.Targets = slices.DeleteFunc(p.Targets, func(t targets.Target) bool { return t.Incarnation > 2001 })
			for i := range p.Targets {
				p.Targets[i].Draining, p.Targets[i].Dead = false, false
			}
		})}},
		"false busy": {want: "reported as rejected", defect: Defect{Response: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Unknown {
				r.Class, r.Status = dispatch.Rejected, 503
			}
			return r
		}}},
		"foreign answer": {want: "not from the target", defect: Defect{Response: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Answered {
				r.TargetResponse.Body = append([]byte("x"), r.TargetResponse.Body...)
			}
			return r
		}}},
		"not in force": {want: "superseded over", defect: Defect{Message: alterPushes(func(p *distribution.Push) {
			if p.Revision > 3 {
				p.Configuration, p.Revision = nil, 3
			}
		})}},
		"left target": {want: "known gone or leaving", script: drained, defect: Defect{SkipIdentityCheck: true, Message: alterPushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Draining, p.Targets[i].Dead = false, false
			}
		})}},
		"flood": {want: "loaded beyond", rate: 400, defect: Defect{SkipIdentityCheck: true, Message: alterPushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Warmth, p.Targets[i].AgeMillis, p.Targets[i].Capacity = 1, 1e6, 200
			}
		})}},
		"retries": {want: "retries over", script: loseResponsesAfterCalm, defect: Defect{Message: alterPushes(replaceInPush(`"allowance":10`, `"allowance":900`))}},
		"marks forgotten": {want: "executed twice", defect: Defect{IdempotencyRetention: 300 * time.Millisecond}, script: func(w *World) {
			// Proposers remember for a while what disks forgot: they restart.
			responsesLost(w)
			w.repeat(time.Second, 900*time.Millisecond, 36, func(i int) { w.restartProcess(w.processes[i%3], 150*time.Millisecond) })
		}},
		// Leases without end: a proxy that is cut off serves on.
		"emptied in a split": {want: "drained over", lease: time.Hour, script: zoneDrainedDuringPartition},
		// Nor does it expire silent targets, or learn from other proxies.
		"unheard of":          {want: "known gone or leaving", lease: time.Hour, script: declaredDeadButRunning, defect: Defect{Message: dropLeaseGossip}},
		"moved in a split":    {want: "superseded over", lease: time.Hour, rate: 200, script: configurationMovedDuringPartition, defect: Defect{Message: dropLeaseGossip}},
		"held circuit closed": {want: "long-lived connection closed", hot: true, defect: Defect{CloseLongLived: true}},
		"urgent routes moved": {want: "urgent route moved", hot: true, defect: Defect{Message: alterTables(func(t *spill.Table) { t.Moves = reverseTiers(t.Moves) })}},
		"far cells first":     {want: "move to a far zone", hot: true, defect: Defect{Message: alterTables(func(t *spill.Table) { t.Moves = moveFarther(t.Moves) })}},
		"others' traffic first": {want: "took in others' traffic while", hot: true, defect: Defect{Message: alterTables(func(t *spill.Table) {
			// At intervals, so that the moves are seen to begin.
			if t.Number%4 >= 2 {
				t.Moves = addCrossedMoves(t.Moves)
			}
		})}},
		"order refused when it came again": {want: "refused with 409 when it came again", defect: Defect{Confirm: refuseCopies()}, script: answersLostAndResent},
		"acted before the sync":            {want: "was known|reads back as|given to", defect: Defect{SyncLate: true}, script: powerLostAfterAcks},
		// The closing fault is the only one.
		"acted before the last sync":     {want: "was known|reads back as|given to", defect: Defect{SyncLate: true}, script: func(*World) {}},
		"blank store keeps its identity": {want: "was known|reads back as|given to", defect: Defect{BlankKeepsIdentity: true}, script: wipedAndRestarted},
		"new seeds lead nowhere":         {want: "can't be read", defect: Defect{DeadSeeds: true}, script: seedsTurnedThenReplaced},
		"deaf to departures":             {want: "after its client had left", script: clientsLeave, defect: Defect{DeafToDepartures: true}},
		"reset taken for not sent":       {want: "executed twice", defect: Defect{ResetIsUnsent: true}, script: connectionsReset},
		"emptied cell":                   {want: "drained over", script: drainAgainAndAgain, defect: Defect{Message: alterPushes(replaceInPush(`"emptied":true`, `"emptied":false`))}},
		"lease without end":              {want: "cut off, answered", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
		"deaf planner":                   {want: "have planned for", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
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
				p := Options{Seed: seed, Length: 40 * time.Second, Defect: c.defect, Rate: c.rate, Script: c.script, Lease: c.lease}
				if c.hot {
					p = Hot(seed)
					p.Length = 420 * time.Second // long enough for moves to begin, and more to come
					p.Defect = c.defect
				}
				for _, k := range Run(p).Results {
					found = found || k.Violations > 0 && bite.MatchString(k.Rule+"\n"+strings.Join(k.Samples, "\n"))
				}
			}
			is.True(found) // the planted defect was seen
		})
	}
}
