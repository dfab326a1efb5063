package registry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// supersededResult is the result of a request that a later change has superseded.
const supersededResult = `{"stale":[{"kind":"cell","name":"a","version":3,"asked":2}]}`

// requestEvacuation passes a zone evacuation request to the registry and returns the request that
// it sent to the stores, if any. The stores answer with supersededResult.
func (r *testRegistry) requestEvacuation(id uint64) (sentRequest configuration.ZoneEvacuationRequest, sent bool) {
	for _, command := range r.Step(r.now, ZoneEvacuationCall{ID: id, Zone: "a", Region: "south", Evacuate: true}) {
		switch command := command.(type) {
		case event.Send:
			if request, ok := command.Message.(consensus.Request); ok && request.Op == configuration.OpSetZoneEvacuation {
				sent = json.Unmarshal(request.Arg, &sentRequest) == nil
				reply := emptyReply(request)
				reply.Result = []byte(supersededResult)
				r.deliver(reply)
			}
		case Response:
			r.statuses[command.ID] = command.Status
		}
	}
	return sentRequest, sent
}

// A request carries the zone version known when it arrived. A superseded one is answered
// with 503, which doesn't mean that it was rejected.
func TestZoneEvacuation_SupersededIsNotRejected(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.run(time.Second, nil)
	document, err := configuration.Decode(nil)
	is.NoErr(err)
	document, result := document.SetZoneEvacuation(configuration.ZoneEvacuationRequest{Zone: "a", Region: "south", Evacuate: false})
	is.True(result.Accepted())
	r.adoptConfiguration(document.Encode(true))
	request, sent := r.requestEvacuation(7)
	is.True(sent)
	is.Equal(request, configuration.ZoneEvacuationRequest{Zone: "a", Region: "south", Evacuate: true, ExpectedVersion: 1})
	is.Equal(r.statuses[7], 503)
}

// A request that may have waited during a pause of the process is too old: its caller may
// have sent a different one since.
func TestZoneEvacuation_IgnoredAroundProcessPause(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.run(time.Second, nil)
	r.now = r.now.Add(5 * time.Second)
	_, sent := r.requestEvacuation(7) // before the first tick
	is.True(!sent)
	is.Equal(r.statuses[7], 503)
	r.run(2*testTickInterval, nil)
	_, sent = r.requestEvacuation(8) // right after it
	is.True(!sent)
	is.Equal(r.statuses[8], 503)
	r.run(2*time.Second, nil)
	_, sent = r.requestEvacuation(9)
	is.True(sent)
}
