package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

const (
	faultyResponseSeeds   = 8
	faultyResponseClients = 4
	faultyResponseCount   = 20 // requests of each client, each sent up to maxFaultySendings times
	maxFaultySendings     = 4
)

// faultyResponder draws the faults of a target's responses.
type faultyResponder struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (f *faultyResponder) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// statusOfArrival returns the status of the response to an arrival, so that the responses to the
// arrivals of a request differ.
func statusOfArrival(id string, arrival int) int {
	return []int{200, 500, 503, 421}[(len(id)+int(id[len(id)-1])+arrival)%4]
}

// respond returns the response to an arrival, alone or with an extra one after it.
func (f *faultyResponder) respond(r *http.Request, arrival int) string {
	id := r.Header.Get("Id")
	response := strings.Replace(arrivalResponse(r, arrival), "200 OK", fmt.Sprintf("%d Text", statusOfArrival(id, arrival)), 1)
	if f.draw(12) == 0 {
		return response + response
	}
	return response
}

// again returns the bytes before a response: nothing, one or two earlier responses, a part of one,
// or bytes that are no response.
func (f *faultyResponder) again(earlier []string) string {
	if len(earlier) == 0 {
		return ""
	}
	one := earlier[f.draw(len(earlier))]
	switch f.draw(12) {
	case 0, 1, 2:
		return earlier[len(earlier)-1]
	case 3:
		return one
	case 4:
		return one + earlier[len(earlier)-1]
	case 5:
		return one[:f.draw(len(one))]
	case 6:
		return "\x00\x01 no answer\r\n\r\n"
	}
	return ""
}

// Guards against taking a target's bytes for the response to another request, or to another sending
// of the same one, whatever the target writes before and after its responses: each response that
// is used has the request's id, and the status, body and number of its latest arrival.
func TestForward_ResponsesBelongToLatestArrival(t *testing.T) {
	used := 0
	for seed := range uint64(faultyResponseSeeds) {
		target, d := newArrivalTarget(t), newPlainDaemon(0)
		responder := &faultyResponder{random: rand.New(rand.NewPCG(seed, 0))}
		target.respond, target.again = responder.respond, responder.again
		var mu sync.Mutex
		var clients sync.WaitGroup
		for client := range faultyResponseClients {
			clients.Go(func() {
				for n := range faultyResponseCount {
					id := fmt.Sprintf("%d-%d-%d", seed, client, n)
					count := sendRepeatedly(t, d, target, &ClientRequest{AttemptID: id, Method: []string{"GET", "PUT", "HEAD"}[responder.draw(3)]})
					mu.Lock()
					used += count
					mu.Unlock()
				}
			})
		}
		clients.Wait()
	}
	if sent := faultyResponseSeeds * faultyResponseClients * faultyResponseCount; used < sent {
		t.Errorf("only %d responses to %d requests were used", used, sent)
	}
}

// sendRepeatedly sends a request several times and checks each response. It returns the number of
// responses that were used.
func sendRepeatedly(t *testing.T, d *testDaemon, target *arrivalTarget, request *ClientRequest) int {
	used := 0
	for range maxFaultySendings {
		finished := d.forwardRequest(target, request, false, 200*time.Millisecond)
		if finished.Result != dispatch.Complete {
			continue
		}
		used++
		arrival := target.arrivalCount(request.AttemptID)
		wantBody := arrivalBody(request.AttemptID, arrival)
		if request.Method == http.MethodHead {
			wantBody = ""
		}
		got := responseHeader(finished, "Arrival")
		if got != strconv.Itoa(arrival) || string(finished.Response.Body) != wantBody || int(finished.Response.Status) != statusOfArrival(request.AttemptID, arrival) {
			t.Errorf("%s %s, arrival %d: response of arrival %s, status %d, body %q", request.Method, request.AttemptID, arrival, got, finished.Response.Status, finished.Response.Body)
		}
	}
	return used
}

// responseHeader returns a header of the response of an attempt.
func responseHeader(finished dispatch.AttemptFinished, name string) string {
	for _, header := range finished.Response.Header {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}
