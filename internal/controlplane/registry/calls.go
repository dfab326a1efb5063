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

// callTimeout bounds how long a call waits for a majority.
const callTimeout = 3 * time.Second

// CallTimeout is how long a call of so many bytes waits: a large one takes its
// time to the store, and from there to the others.
func CallTimeout(bytes int) time.Duration { return callTimeout + 2*consensus.TransferTime(bytes) }

func sortedNames[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }

func (r *Registry) handleCall(now ids.Time, ev any) {
	if id, ok := callID(ev); ok && r.stopping {
		r.replyStopping(id)
		return
	}
	switch call := ev.(type) {
	case ChangeCall:
		r.handleChange(now, call)
	case MergeCall:
		r.handleMerge(now, call)
	case ZoneOrderCall:
		r.handleZoneOrder(now, call)
	case DeregisterCall:
		r.handleDeregister(now, call)
	case ReadConfigurationCall:
		r.handleReadConfiguration(now, call)
	case ResolveCall:
		r.handleResolve(now, call)
	case HeartbeatCall:
		r.handleHeartbeat(now, call)
	case Stopping:
		r.handleStopping(now)
	case StatusCall:
		// It tells of this daemon itself, and how old its agreement is.
		r.Emit(Response{ID: call.ID, Status: 200, Body: r.Status(now)})
	}
}

// unreached answers a call that surely had no effect for want of a majority.
func (r *Registry) replyUnavailable(id uint64) {
	r.Emit(Response{ID: id, Status: 503, Body: ErrorResponse{"no majority of stores can be reached"}, RetryAfter: 1})
}

func (r *Registry) handleReadConfiguration(now ids.Time, call ReadConfigurationCall) {
	switch {
	case !call.Local:
		r.withLease(now, call.ID, func(now ids.Time) { r.startLinearizableRead(now, call) })
	case r.hasLease(now):
		r.Emit(Response{ID: call.ID, Status: 200, Body: r.configuration})
	default:
		r.replyUnavailable(call.ID)
	}
}

// startLinearizableRead begins an agreement read: every daemon gives the same truth, or none.
func (r *Registry) startLinearizableRead(now ids.Time, call ReadConfigurationCall) {
	r.trackPendingCall(now, 0, r.Client.ReadIfChanged(now, configuration.Key, r.registerValue, r.registerChecksum, callTimeout, func(_ ids.Time, outcome consensus.Outcome, out []byte) {
		document, err := configuration.Decode(out)
		if outcome != consensus.Succeeded || err != nil {
			r.replyUnavailable(call.ID)
			return
		}
		r.agreedAt = max(r.agreedAt, now)
		r.adoptConfiguration(out)
		document.RecentResults, document.RejectedResults, document.History = nil, nil, nil
		r.Emit(Response{ID: call.ID, Status: 200, Body: document})
	}))
}

// sightFor is how long a sight is used again: drawing up every zone for each
// ask would cost more than the answer.
const snapshotLifetime = 50 * time.Millisecond

// sight is what the directory answers from. A change of configuration or of the roll
// makes it anew at once.
func (r *Registry) directorySnapshot(now ids.Time) directory.Snapshot {
	k := snapshotKey{r.view.Revision, r.Version(), r.spillTable.Epoch, r.spillTable.Number}
	if k != r.cachedSnapshotKey || now.Sub(r.cachedSnapshotAt) >= snapshotLifetime {
		r.cachedSnapshot, r.cachedSnapshotKey, r.cachedSnapshotAt = r.buildSnapshot(now), k, now
	}
	return r.cachedSnapshot
}

type snapshotKey struct {
	revision          ids.Revision
	membershipVersion uint64
	tableEpoch        ids.Epoch
	tableNumber       ids.StreamNumber
}

func (r *Registry) buildSnapshot(now ids.Time) directory.Snapshot {
	// Few asks need the room, and drawing every zone up costs more than they do.
	var zones map[ids.Name]spill.Zone
	s := directory.Snapshot{
		Proxies: r.eligibleProxies(now), Drained: map[ids.Name]bool{},
		Distance: r.view.Distance, Demand: r.Reports.Demand,
		Room: func(n ids.Name) float64 {
			if zones == nil {
				zones = r.currentZones(now)
			}
			c := zones[n]
			if c.Stale {
				return 0
			}
			return c.Target - c.Used()
		},
	}
	for n, c := range r.view.Zones {
		s.Drained[n] = c.Drained
	}
	if !r.spillTableExpired(now) {
		s.Moves = r.spillTable.Moves
	}
	return s
}

// spillTableExpired tells whether the table has outlived its lifetime in a registry that
// has lost its majority; with a majority and no planner the last one holds.
func (r *Registry) spillTableExpired(now ids.Time) bool {
	return now.Sub(r.agreedAt) > 5*time.Second && now.Sub(r.spillTableConfirmedAt) > 3*r.options.PlanEvery
}

// SpillTable gives the table in force here, for tests and status.
func (r *Registry) SpillTable() spill.Table { return r.spillTable }
