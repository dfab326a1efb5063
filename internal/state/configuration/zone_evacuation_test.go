package configuration

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// inFlightRequests holds requests and duplicates of them that haven't been delivered yet.
// Their expected versions may be stale.
type inFlightRequests struct {
	random   *rand.Rand
	requests []ZoneEvacuationRequest
}

// send adds one to three copies of a request, some of them with a stale version.
func (r *inFlightRequests) send(evacuate bool, current ids.Revision) {
	for range 1 + r.random.IntN(3) {
		lag := ids.Revision(0)
		if r.random.IntN(3) == 0 {
			lag = min(current, ids.Revision(r.random.IntN(2)))
		}
		r.requests = append(r.requests, ZoneEvacuationRequest{"a", "south", evacuate, current - lag})
	}
}

// removeRandom removes and returns a random request.
func (r *inFlightRequests) removeRandom() ZoneEvacuationRequest {
	i := r.random.IntN(len(r.requests))
	request := r.requests[i]
	r.requests = append(r.requests[:i], r.requests[i+1:]...)
	return request
}

// deliverUntilAcknowledged applies requests until one for the wanted state is accepted and
// the zone is in that state. It adds a request if none is left.
func (r *inFlightRequests) deliverUntilAcknowledged(d *Document, evacuate bool) *Document {
	for {
		request := r.removeRandom()
		next, res := d.SetZoneEvacuation(request)
		d = next
		if res.Accepted() && request.Evacuate == evacuate && isZoneAEvacuated(d) == evacuate {
			return d
		}
		if len(r.requests) == 0 {
			r.requests = append(r.requests, ZoneEvacuationRequest{"a", "south", evacuate, d.ZoneVersion("a")})
		}
	}
}

// A delayed duplicate of a request must not revert a later request that was acknowledged.
func TestSetZoneEvacuation_DelayedDuplicateDoesNotRevertLaterRequest(t *testing.T) {
	staleRequests := 0
	for seed := range uint64(200) {
		inFlight := inFlightRequests{random: rand.New(rand.NewPCG(seed, 4))}
		d := emptyDocument(t)
		evacuate := false
		for range 20 {
			evacuate = !evacuate
			inFlight.send(evacuate, d.ZoneVersion("a"))
			d = inFlight.deliverUntilAcknowledged(d, evacuate)
			for len(inFlight.requests) > 0 && inFlight.random.IntN(3) > 0 {
				next, res := d.SetZoneEvacuation(inFlight.removeRandom())
				if len(res.VersionConflicts) > 0 {
					staleRequests++
				}
				if d = next; isZoneAEvacuated(d) != evacuate {
					t.Fatalf("seed %d: a delayed duplicate reverted an acknowledged request", seed)
				}
			}
		}
	}
	if staleRequests < 100 {
		t.Fatalf("only %d requests were stale, want at least 100", staleRequests)
	}
}

func isZoneAEvacuated(d *Document) bool { return d.View().Zones["a"].Evacuated }

// A request keeps the zone's other fields, changes nothing if the zone is already in the
// requested state, and is rejected as stale after the zone was changed or removed.
func TestSetZoneEvacuation_KeepsOtherFieldsAndRejectsStaleRequests(t *testing.T) {
	is := is.New(t)
	d, _ := applyChange(t, emptyDocument(t), "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south","emptied":true}}`)
	next, res := d.SetZoneEvacuation(ZoneEvacuationRequest{"a", "south", true, d.ZoneVersion("a")})
	is.True(res.Accepted())
	is.Equal(res.Items, []ItemVersion{{"cell", "a", 2}})
	v := next.View().Zones["a"]
	is.True(v.Evacuated && v.Drained && v.TargetLoad == 100)
	same, res := next.SetZoneEvacuation(ZoneEvacuationRequest{"a", "south", true, 0})
	is.True(res.Accepted())
	is.True(same == next)
	same, res = next.SetZoneEvacuation(ZoneEvacuationRequest{"a", "south", false, 1})
	is.Equal(res.VersionConflicts, []VersionConflict{{ItemVersion{"cell", "a", 2}, 1}})
	is.True(same == next)
	// A removed zone has the version of its tombstone.
	next, res = applyChange(t, next, "2", `{"kind":"cell","name":"a","remove":true}`)
	is.True(res.Accepted())
	_, res = next.SetZoneEvacuation(ZoneEvacuationRequest{"a", "south", true, 0})
	is.Equal(len(res.VersionConflicts), 1)
	next, res = next.SetZoneEvacuation(ZoneEvacuationRequest{"a", "south", true, next.ZoneVersion("a")})
	is.True(res.Accepted())
	is.True(next.View().Zones["a"].Region == "south" && next.Zones["a"].Version == 4)
}
