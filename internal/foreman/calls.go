package foreman

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/signpost"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// Calls from outside come as these events; each is answered by one Reply.
type (
	// ChangeCall asks for a checked change.
	ChangeCall struct {
		ID  uint64
		Raw []byte
	}
	// PolicyCall asks for the policy; Local for this foreman's own copy.
	PolicyCall struct {
		ID    uint64
		Local bool
	}
	// MergeCall asks for items to be merged whose versions their caller gave.
	MergeCall struct {
		ID   uint64
		Body catalogue.Merging
	}
	// WhereCall asks where a fresh circuit should go: for a route, or for all
	// routes of a host, known or not.
	WhereCall struct {
		ID    uint64
		Cell  ticket.Name
		Route ticket.Name
		Host  string
	}
	// GoneCall is a target's word that it ends.
	GoneCall struct {
		ID       uint64
		Instance ticket.Instance
	}
	// AnnounceCall is a target's word; its answer names the foreman that is to
	// have its next ones.
	AnnounceCall struct {
		ID     uint64
		Target yard.Target
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
type Word struct {
	Problem string `json:"problem"`
}

// callWait bounds how long a call waits for a majority.
const callWait = 3 * time.Second

func names[V any](m map[ticket.Name]V) []ticket.Name { return slices.Sorted(maps.Keys(m)) }

func (f *Foreman) call(now ticket.Tick, ev any) {
	switch c := ev.(type) {
	case ChangeCall:
		f.change(now, c)
	case MergeCall:
		f.merge(now, c)
	case GoneCall:
		f.gone(now, c)
	case PolicyCall:
		f.policyCall(now, c)
	case WhereCall:
		f.where(now, c)
	case AnnounceCall:
		f.announced(now, c)
	case StatusCall:
		f.Do(Response{ID: c.ID, Status: 200, Body: f.Status(now)})
	}
}

// unreached answers a call that surely had no effect for want of a majority.
func (f *Foreman) unreached(id uint64) {
	f.Do(Response{ID: id, Status: 503, Body: Word{"no majority of stockrooms can be reached"}, Retry: 1})
}

func (f *Foreman) change(now ticket.Tick, c ChangeCall) {
	// Faults that the words alone show need no round.
	if ch, faults := catalogue.ReadChange(c.Raw); len(faults) > 0 {
		f.Do(Response{ID: c.ID, Status: 400, Body: catalogue.Result{ID: ch.ID, Faults: faults}})
		return
	}
	f.agree(now, c.ID, catalogue.OpChange, c.Raw)
}

func (f *Foreman) merge(now ticket.Tick, c MergeCall) {
	if faults := c.Body.Check(); len(faults) > 0 {
		f.Do(Response{ID: c.ID, Status: 400, Body: catalogue.Result{Faults: faults}})
		return
	}
	raw, err := json.Marshal(c.Body)
	if err != nil {
		f.Do(Response{ID: c.ID, Status: 400, Body: Word{err.Error()}})
		return
	}
	f.agree(now, c.ID, catalogue.OpMerge, raw)
}

// agree has a change of the policy agreed on, and answers its caller.
func (f *Foreman) agree(now ticket.Tick, id uint64, op ledger.Op, raw []byte) {
	f.Asker.Want(now, catalogue.Key, op, raw, callWait, func(_ ticket.Tick, s ledger.State, out []byte) {
		var r catalogue.Result
		switch {
		case s == ledger.Declined:
			f.unreached(id)
		case s != ledger.Done || json.Unmarshal(out, &r) != nil:
			f.Do(Response{ID: id, Status: 504, Body: Word{"uncertain: the change may have been accepted; send it again under the same id"}, Retry: 1})
		default:
			f.Do(Response{ID: id, Status: statusOf(r), Body: r})
		}
	})
}

func statusOf(r catalogue.Result) int {
	switch {
	case len(r.Faults) > 0:
		return 400
	case len(r.Stale) > 0:
		return 409
	case len(r.Missing) > 0:
		return 404
	}
	return 200
}

func (f *Foreman) policyCall(now ticket.Tick, c PolicyCall) {
	if c.Local {
		f.Do(Response{ID: c.ID, Status: 200, Body: f.policy})
		return
	}
	// An agreement read: every daemon gives the same truth, or none.
	f.Asker.Reread(now, catalogue.Key, f.whole, f.sum, callWait, func(_ ticket.Tick, s ledger.State, out []byte) {
		p, err := catalogue.Open(out)
		if s != ledger.Done || err != nil {
			f.unreached(c.ID)
			return
		}
		f.agreed = max(f.agreed, now)
		f.adopt(out)
		p.Recent, p.Declined = nil, nil
		f.Do(Response{ID: c.ID, Status: 200, Body: p})
	})
}

// sightFor is how long a sight is used again: drawing up every cell for each
// ask would cost more than the answer.
const sightFor = 50 * time.Millisecond

// sight is what the directory answers from. A change of policy or of the roll
// makes it anew at once.
func (f *Foreman) sight(now ticket.Tick) signpost.Sight {
	k := sightKey{f.view.Revision, f.Version(), f.table.Epoch, f.table.Number}
	if k != f.seenBy || now.Since(f.seenAt) >= sightFor {
		f.seen, f.seenBy, f.seenAt = f.look(now), k, now
	}
	return f.seen
}

type sightKey struct {
	revision ticket.Revision
	roll     uint64
	epoch    ticket.Epoch
	table    ticket.Number
}

func (f *Foreman) look(now ticket.Tick) signpost.Sight {
	// Few asks need the room, and drawing every cell up costs more than they do.
	var cells map[ticket.Name]haulage.Cell
	s := signpost.Sight{Counters: f.ready(now), Emptied: map[ticket.Name]bool{},
		Distance: f.view.Distance, Demand: f.Books.Demand,
		Room: func(n ticket.Name) float64 {
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

// stale tells whether the table has outlived its lifetime in a foreman that
// has lost its majority; with a majority and no planner the last one holds.
func (f *Foreman) stale(now ticket.Tick) bool {
	return now.Since(f.agreed) > 5*time.Second && now.Since(f.tableAt) > 3*f.params.PlanEvery
}

// Moves gives the table in force here, for tests and status.
func (f *Foreman) Moves() haulage.Table { return f.table }
