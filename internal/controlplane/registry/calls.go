package registry

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/directory"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// Calls from outside come as these events; each is answered by one Reply.
type (
	// ChangeCall asks for a checked change.
	ChangeCall struct {
		ID  uint64
		Raw []byte
	}
	// ReadConfigurationCall asks for the configuration; Local for this registry's own copy.
	ReadConfigurationCall struct {
		ID    uint64
		Local bool
	}
	// MergeCall asks for items to be merged whose versions their caller gave.
	MergeCall struct {
		ID   uint64
		Body configuration.Merge
	}
	// WhereCall asks where a fresh connection should go: for a route, or for all
	// routes of a host, known or not.
	ResolveCall struct {
		ID    uint64
		Zone  ids.Name
		Route ids.Name
		Host  string
	}
	// GoneCall is a target's word that it ends.
	DeregisterCall struct {
		ID       uint64
		Instance ids.InstanceID
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
	ID         uint64
	Status     int
	Body       any
	RetryAfter int
}

// Word is a body that says one thing.
type ErrorResponse struct {
	Message string `json:"problem"`
}

// callWait bounds how long a call waits for a majority.
const callWait = 3 * time.Second

// CallWait is how long a call of so many bytes waits: a large one takes its
// time to the store, and from there to the others.
func CallWait(bytes int) time.Duration { return callWait + 2*consensus.TransferTime(bytes) }

func names[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }

func (f *Registry) call(now ids.Time, ev any) {
	if id, ok := callID(ev); ok && f.stopping {
		f.rejects(id)
		return
	}
	switch c := ev.(type) {
	case ChangeCall:
		f.change(now, c)
	case MergeCall:
		f.merge(now, c)
	case ZoneOrderCall:
		f.orderZone(now, c)
	case DeregisterCall:
		f.gone(now, c)
	case ReadConfigurationCall:
		f.configurationCall(now, c)
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
	f.Emit(Response{ID: id, Status: 503, Body: ErrorResponse{"no majority of stores can be reached"}, RetryAfter: 1})
}

func (f *Registry) configurationCall(now ids.Time, c ReadConfigurationCall) {
	switch {
	case !c.Local:
		f.underLease(now, c.ID, func(now ids.Time) { f.beginRead(now, c) })
	case f.leased(now):
		f.Emit(Response{ID: c.ID, Status: 200, Body: f.configuration})
	default:
		f.unavailable(c.ID)
	}
}

// beginRead begins an agreement read: every daemon gives the same truth, or none.
func (f *Registry) beginRead(now ids.Time, c ReadConfigurationCall) {
	f.await(now, 0, f.Client.ReadIfChanged(now, configuration.Key, f.whole, f.sum, callWait, func(_ ids.Time, s consensus.Outcome, out []byte) {
		p, err := configuration.Decode(out)
		if s != consensus.Succeeded || err != nil {
			f.unavailable(c.ID)
			return
		}
		f.agreed = max(f.agreed, now)
		f.adopt(out)
		p.Recent, p.Rejected, p.History = nil, nil, nil
		f.Emit(Response{ID: c.ID, Status: 200, Body: p})
	}))
}

// sightFor is how long a sight is used again: drawing up every zone for each
// ask would cost more than the answer.
const snapshotFor = 50 * time.Millisecond

// sight is what the directory answers from. A change of configuration or of the roll
// makes it anew at once.
func (f *Registry) snapshot(now ids.Time) directory.Snapshot {
	k := snapshotKey{f.view.Revision, f.Version(), f.table.Epoch, f.table.Number}
	if k != f.seenBy || now.Sub(f.seenAt) >= snapshotFor {
		f.seen, f.seenBy, f.seenAt = f.look(now), k, now
	}
	return f.seen
}

type snapshotKey struct {
	revision ids.Revision
	roll     uint64
	epoch    ids.Epoch
	table    ids.StreamNumber
}

func (f *Registry) look(now ids.Time) directory.Snapshot {
	// Few asks need the room, and drawing every zone up costs more than they do.
	var zones map[ids.Name]spill.Zone
	s := directory.Snapshot{
		Proxies: f.ready(now), Emptied: map[ids.Name]bool{},
		Distance: f.view.Distance, Demand: f.Reports.Demand,
		Room: func(n ids.Name) float64 {
			if zones == nil {
				zones = f.zones(now)
			}
			c := zones[n]
			if c.Stale {
				return 0
			}
			return c.Target - c.Used()
		},
	}
	for n, c := range f.view.Zones {
		s.Emptied[n] = c.Drained
	}
	if !f.stale(now) {
		s.Moves = f.table.Moves
	}
	return s
}

// stale tells whether the table has outlived its lifetime in a registry that
// has lost its majority; with a majority and no planner the last one holds.
func (f *Registry) stale(now ids.Time) bool {
	return now.Sub(f.agreed) > 5*time.Second && now.Sub(f.tableAt) > 3*f.options.PlanEvery
}

// Moves gives the table in force here, for tests and status.
func (f *Registry) Moves() spill.Table { return f.table }
