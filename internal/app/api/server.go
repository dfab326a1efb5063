package api

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/registry"
)

// logAnnouncementRejected is logged when a target sends an invalid announcement.
const logAnnouncementRejected event.LogEvent = "announcement_rejected"

// baseResponseTimeout is how long a call waits for the registry's state machine. It is
// longer than the registry's own timeout for the stores (3 s), so that the registry's
// answer comes first.
const baseResponseTimeout = 5 * time.Second

// Server answers the API calls of one registry.
type Server struct {
	// Put enqueues an event for the registry's state machine.
	Put func(ev any)
	// Log writes to the daemon's log. If nil, nothing is logged.
	Log func(level event.Level, name event.LogEvent, fields ...string)

	// nextID is the ID of the last call that was passed to the state machine.
	nextID atomic.Uint64
	mu     sync.Mutex
	// pending holds the calls that wait for a response, by ID.
	pending map[uint64]chan registry.Response
}

// Handler returns the handler of all paths under /v1.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/policy", s.getConfiguration)
	mux.HandleFunc("GET "+RevisionPath, s.getRevision)
	mux.HandleFunc("GET /v1/{kind}", s.listItems)
	mux.HandleFunc("GET /v1/{kind}/{name}", s.getItem)
	mux.HandleFunc("PUT /v1/{kind}/{name}", s.putItem)
	mux.HandleFunc("DELETE /v1/{kind}/{name}", s.removeItem)
	mux.HandleFunc("POST /v1/cells/{name}/{action}", s.setZoneState)
	mux.HandleFunc("POST /v1/change", s.postChange)
	mux.HandleFunc("POST "+mergePath, s.postMerge)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	mux.HandleFunc("GET /v1/where", s.resolve)
	mux.HandleFunc("POST /v1/announce", s.announce)
	return mux
}

// Do passes a call to the registry's state machine and waits for the response. newCall
// returns the call with the given ID. If there is no response in time, the outcome of the
// call is unknown and the returned response has status 504.
func (s *Server) Do(newCall func(id uint64) any) registry.Response {
	id := s.nextID.Add(1)
	reply := make(chan registry.Response, 1)
	s.mu.Lock()
	if s.pending == nil {
		s.pending = map[uint64]chan registry.Response{}
	}
	s.pending[id] = reply
	s.mu.Unlock()
	call := newCall(id)
	s.Put(call)
	select {
	case response := <-reply:
		return response
	case <-time.After(responseTimeout(call)):
		s.takePending(id)
		return errorResponse(http.StatusGatewayTimeout, "uncertain: no answer in time")
	}
}

// HandleResponse delivers a response of the state machine to its call. A response whose
// call has timed out is dropped.
func (s *Server) HandleResponse(response registry.Response) {
	if reply := s.takePending(response.ID); reply != nil {
		reply <- response
	}
}

// takePending removes a pending call and returns its channel, or nil if there is none.
func (s *Server) takePending(id uint64) chan registry.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.pending[id]
	delete(s.pending, id)
	return reply
}

// responseTimeout returns how long to wait for the response to a call. For a merge, it adds
// twice the time by which the size of the merge extends the registry's own timeout.
func responseTimeout(call any) time.Duration {
	m, ok := call.(registry.MergeCall)
	if !ok {
		return baseResponseTimeout
	}
	size := 0
	for _, item := range m.Body.Items {
		size += len(item.Body) + len(item.Source) + len(item.Name)
	}
	return baseResponseTimeout + 2*(registry.CallTimeout(size)-registry.CallTimeout(0))
}

// Status returns the registry's status, which is empty if the registry doesn't respond.
func (s *Server) Status() registry.Status {
	status, _ := s.Do(newStatusCall).Body.(registry.Status)
	return status
}

func newStatusCall(id uint64) any { return registry.StatusCall{ID: id} }

func (s *Server) getStatus(rw http.ResponseWriter, _ *http.Request) {
	WriteResponse(rw, s.Do(newStatusCall))
}
