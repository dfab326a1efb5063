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

// Every rule of the checker detects its violation, planted as a defect.
func TestChecker_DetectsPlantedDefects(t *testing.T) {
	for name, c := range map[string]struct {
		want   string
		defect Defect
		rate   float64
		script func(*World)
		lease  time.Duration
		hot    bool
	}{
		"idempotency key claimed twice": {want: "executed twice", defect: Defect{ReplacedOps: map[consensus.Op]consensus.ChangeFunc{idempotency.OpClaim: grantEveryClaim}}},
		"change applied in part":        {want: "reads back as", defect: Defect{ReplacedOps: map[consensus.Op]consensus.ChangeFunc{configuration.OpChange: applyHalf}}},
		"synced records lost": {want: "was known|reads back as|given to", defect: Defect{LoseSyncedRecords: true}, script: func(w *World) {
			// All stores lose power at once, repeatedly.
			w.repeat(8*time.Second, 6*time.Second, 5, func(int) {
				for _, p := range w.processes[:3] {
					w.restartProcess(p, time.Second)
				}
			})
		}},
		"request sent to wrong target": {want: "received a request for", defect: Defect{SkipIdentityCheck: true, AlterMessage: alterPushes(func(p *distribution.Push) {
			// The proxies learn only the first incarnation of each target.
			p.Targets = slices.DeleteFunc(p.Targets, func(t targets.Target) bool { return t.Incarnation > 2001 })
			for i := range p.Targets {
				p.Targets[i].Draining, p.Targets[i].Dead = false, false
			}
		})}},
		"rejection of an executed request": {want: "reported as rejected", defect: Defect{AlterResponse: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Unknown {
				r.Class, r.Status = dispatch.Rejected, 503
			}
			return r
		}}},
		"response altered by proxy": {want: "not from the target", defect: Defect{AlterResponse: func(r dispatch.Response) dispatch.Response {
			if r.Class == dispatch.Answered {
				r.TargetResponse.Body = append([]byte("x"), r.TargetResponse.Body...)
			}
			return r
		}}},
		"accepted change not adopted": {want: "superseded over", defect: Defect{AlterMessage: alterPushes(func(p *distribution.Push) {
			if p.Revision > 3 {
				p.Configuration, p.Revision = nil, 3
			}
		})}},
		"request sent to drained target": {want: "known gone or leaving", script: targetsDrained, defect: Defect{SkipIdentityCheck: true, AlterMessage: alterPushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Draining, p.Targets[i].Dead = false, false
			}
		})}},
		"cold target overloaded": {want: "loaded beyond", rate: 400, defect: Defect{SkipIdentityCheck: true, AlterMessage: alterPushes(func(p *distribution.Push) {
			for i := range p.Targets {
				p.Targets[i].Warmth, p.Targets[i].AgeMillis, p.Targets[i].Capacity = 1, 1e6, 200
			}
		})}},
		"retry budget exceeded": {want: "retries over", script: loseResponsesLate, defect: Defect{AlterMessage: alterPushes(replaceInPush(`"allowance":10`, `"allowance":900`))}},
		"idempotency records deleted early": {want: "executed twice", defect: Defect{IdempotencyRetention: 300 * time.Millisecond}, script: func(w *World) {
			// Restart the stores, since proposers cache records that the disks deleted.
			responsesLost(w)
			w.repeat(time.Second, 900*time.Millisecond, 36, func(i int) { w.restartProcess(w.processes[i%3], 150*time.Millisecond) })
		}},
		// With an endless lease, partitioned proxies keep serving.
		"zone drained during partition": {want: "drained over", lease: time.Hour, script: zoneDrainedDuringPartition},
		// Partitioned proxies also keep silent targets and learn nothing from other proxies.
		"dead target still used":       {want: "known gone or leaving", lease: time.Hour, script: declaredDeadButRunning, defect: Defect{AlterMessage: dropLeaseGossip}},
		"route moved during partition": {want: "superseded over", lease: time.Hour, rate: 200, script: configurationMovedDuringPartition, defect: Defect{AlterMessage: dropLeaseGossip}},
		"long-lived connection closed": {want: "long-lived connection closed", hot: true, defect: Defect{CloseLongLivedConnections: true}},
		"urgent routes moved first":    {want: "urgent route moved", hot: true, defect: Defect{AlterMessage: alterTables(func(t *spill.Table) { t.Moves = rotateRoutes(t.Moves) })}},
		"far zones used first":         {want: "move to a far zone", hot: true, defect: Defect{AlterMessage: alterTables(func(t *spill.Table) { t.Moves = moveToFarZones(t.Moves) })}},
		"other zones' traffic accepted first": {want: "took in others' traffic while", hot: true, defect: Defect{AlterMessage: alterTables(func(t *spill.Table) {
			// Alternate, so that the checker observes the beginning of the moves.
			if t.Number%4 >= 2 {
				t.Moves = addOpposingMoves(t.Moves)
			}
		})}},
		"resent change rejected":   {want: "rejected with 409 when resent", defect: Defect{AlterConfirmation: rejectResentChanges()}, script: operatorResponsesLost},
		"acknowledged before sync": {want: "was known|reads back as|given to", defect: Defect{AcknowledgeBeforeSync: true}, script: powerLostAfterAcks},
		// Only the closing fault is injected.
		"acknowledged before last sync":         {want: "was known|reads back as|given to", defect: Defect{AcknowledgeBeforeSync: true}, script: func(*World) {}},
		"blank store keeps its ID":              {want: "was known|reads back as|given to", defect: Defect{KeepStoreIDOnDiskLoss: true}, script: wipedAndRestarted},
		"new seeds unreachable":                 {want: "can't be read", defect: Defect{UnreachableSeeds: true}, script: seedsReplacedThenMachines},
		"client disconnects ignored":            {want: "after its client disconnected", script: clientsDisconnect, defect: Defect{IgnoreClientDisconnects: true}},
		"reset reported as not sent":            {want: "executed twice", defect: Defect{ReportResetAsNotSent: true}, script: connectionsReset},
		"drained zone still served":             {want: "drained over", script: drainRepeatedly, defect: Defect{AlterMessage: alterPushes(replaceInPush(`"emptied":true`, `"emptied":false`))}},
		"endless control lease: calls answered": {want: "partitioned, answered", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
		"endless control lease: two planners":   {want: "have been planners for", script: Scenes["core-machine-1-cut-off-both-ways"], defect: Defect{ControlLease: time.Hour}},
		"proxies without updates": {want: "15 s after", defect: Defect{AlterMessage: func(_, to string, msg any) (any, bool) {
			_, push := msg.(distribution.Push)
			return msg, !push || to != "proxy-1" && to != "proxy-2" && to != "proxy-3"
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found, pattern := false, regexp.MustCompile(c.want)
			for seed := uint64(1); seed <= 8 && !found; seed++ {
				p := Options{Seed: seed, Length: 40 * time.Second, Defect: c.defect, Rate: c.rate, Script: c.script, Lease: c.lease}
				if c.hot {
					p = HotZoneOptions(seed)
					p.Length = 420 * time.Second // long enough for moves to begin and change
					p.Defect = c.defect
				}
				for _, k := range Run(p).Results {
					found = found || k.Violations > 0 && pattern.MatchString(k.Rule+"\n"+strings.Join(k.Samples, "\n"))
				}
			}
			is.True(found) // the planted defect is detected
		})
	}
}
