package registry

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/directory"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/policy"
)

// Calls from outside come as these events; each is answered by one Reply.
type (
	// ChangeCall asks for a checked change.
	ChangeCall struct {
		ID  uint64
		Raw []byte
	}
	// PolicyCall asks for the policy; Local for this registry's own copy.
	PolicyCall struct {
		ID    uint64
		Local bool
	}
	// MergeCall asks for items to be merged whose versions their caller gave.
	MergeCall struct {
		ID   uint64
		Body policy.Merge
	}
	// WhereCall asks where a fresh connection should go: for a route, or for all
	// routes of a host, known or not.
	ResolveCall struct {
		ID    uint64
		Cell  ids.Name
		Route ids.Name
		Host  string
	}
	// GoneCall is a target's word that it ends.
	DeregisterCall struct {
		ID       uint64
		Instance ids.Instance
	}
	// AnnounceCall is a target's word; its answer names the registry that is to
	// have its next ones.
	HeartbeatCall struct {
		ID     uint64
		Target targets.Target
	}
	// StatusCall asks how things stand.
	StatusCall struct{ ID uint64 }
)

// Response answers a call. Retry asks the caller to come back, in seconds.
type Response struct {
	ID     uint64
	Status int
	Body   any
	Retry  int
}

// Word is a body that says one thing.
type Problem struct {
	Problem string `json:"problem"`
}

// callWait bounds how long a call waits for a majority.
const callWait = 3 * time.Second

// CallWait is how long a call of so many bytes waits: a large one takes its
// time to the store, and from there to the others.
func CallWait(bytes int) time.Duration { return callWait + 2*consensus.TransferTime(bytes) }

func names[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }

func (f *Registry) call(now ids.Time, ev any) {
	if id, ok := callID(ev); ok && f.stopping {
		f.declines(id)
		return
	}
	switch c := ev.(type) {
	case ChangeCall:
		f.change(now, c)
	case MergeCall:
		f.merge(now, c)
	case CellOrderCall:
		f.orderCell(now, c)
	case DeregisterCall:
		f.gone(now, c)
	case PolicyCall:
		f.policyCall(now, c)
	case ResolveCall:
		f.where(now, c)
	case HeartbeatCall:
		f.announced(now, c)
	case Stopping:
		f.stop(now)
	case StatusCall:
		// It tells of this daemon itself, and how old its agreement is.
		f.Emit(Response{ID: c.ID, Status: 200, Body: f.Status(now)})
	}
}

// unreached answers a call that surely had no effect for want of a majority.
func (f *Registry) unavailable(id uint64) {
	f.Emit(Response{ID: id, Status: 503, Body: Problem{"no majority of stores can be reached"}, Retry: 1})
}

func (f *Registry) policyCall(now ids.Time, c PolicyCall) {
	switch {
	case !c.Local:
		f.underLease(now, c.ID, func(now ids.Time) { f.beginRead(now, c) })
	case f.leased(now):
		f.Emit(Response{ID: c.ID, Status: 200, Body: f.policy})
	default:
		f.unavailable(c.ID)
	}
}

// beginRead begins an agreement read: every daemon gives the same truth, or none.
func (f *Registry) beginRead(now ids.Time, c PolicyCall) {
	f.await(now, 0, f.Client.ReadIfChanged(now, policy.Key, f.whole, f.sum, callWait, func(_ ids.Time, s consensus.State, out []byte) {
		p, err := policy.Open(out)
		if s != consensus.Done || err != nil {
			f.unavailable(c.ID)
			return
		}
		f.agreed = max(f.agreed, now)
		f.adopt(out)
		p.Recent, p.Declined, p.History = nil, nil, nil
		f.Emit(Response{ID: c.ID, Status: 200, Body: p})
	}))
}

// sightFor is how long a sight is used again: drawing up every cell for each
// ask would cost more than the answer.
const snapshotFor = 50 * time.Millisecond

// sight is what the directory answers from. A change of policy or of the roll
// makes it anew at once.
func (f *Registry) snapshot(now ids.Time) directory.Snapshot {
	k := snapshotKey{f.view.Revision, f.Version(), f.table.Epoch, f.table.Number}
	if k != f.seenBy || now.Since(f.seenAt) >= snapshotFor {
		f.seen, f.seenBy, f.seenAt = f.look(now), k, now
	}
	return f.seen
}

type snapshotKey struct {
	revision ids.Revision
	roll     uint64
	epoch    ids.Epoch
	table    ids.Number
}

func (f *Registry) look(now ids.Time) directory.Snapshot {
	// Few asks need the room, and drawing every cell up costs more than they do.
	var cells map[ids.Name]spill.Cell
	s := directory.Snapshot{Proxies: f.ready(now), Emptied: map[ids.Name]bool{},
		Distance: f.view.Distance, Demand: f.Reports.Demand,
		Room: func(n ids.Name) float64 {
			if cells == nil {
				cells = f.cells(now)
			}
			c := cells[n]
			if c.Stale {
				return 0
			}
			return c.Target - c.Used()
		}}
	for n, c := range f.view.Cells {
		s.Emptied[n] = c.Emptied
	}
	if !f.stale(now) {
		s.Moves = f.table.Moves
	}
	return s
}

// stale tells whether the table has outlived its lifetime in a registry that
// has lost its majority; with a majority and no planner the last one holds.
func (f *Registry) stale(now ids.Time) bool {
	return now.Since(f.agreed) > 5*time.Second && now.Since(f.tableAt) > 3*f.params.PlanEvery
}

// Moves gives the table in force here, for tests and status.
func (f *Registry) Moves() spill.Table { return f.table }
