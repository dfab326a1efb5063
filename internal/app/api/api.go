// Package window is where outside calls come in: HTTP/1.1 and JSON under /v1.
// A registry answers them; any other daemon forwards them to one.
package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
)

// Window serves the calls of one registry.
type Server struct {
	// Put hands an event to the registry's owner.
	Put func(ev any)
	// Log, if set, writes what must not go unseen.
	Log     func(level event.Level, name event.LogEvent, fields ...string)
	nextID  atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]chan registry.Response
}

const (
	maxCallBody         = 1 << 20
	maxMergeBody        = 64 << 20
	baseResponseTimeout = 5 * time.Second
)

// HandleResponse takes the owner's reply.
func (s *Server) HandleResponse(r registry.Response) {
	s.mu.Lock()
	waiting := s.pending[r.ID]
	delete(s.pending, r.ID)
	s.mu.Unlock()
	if waiting != nil {
		waiting <- r
	}
}

// Ask hands an event in and waits for its reply.
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
	case r := <-reply:
		return r
	case <-time.After(responseTimeout(call)):
		s.mu.Lock()
		delete(s.pending, id)
		s.mu.Unlock()
		return registry.Response{Status: 504, Body: registry.ErrorResponse{Message: "uncertain: no answer in time"}, RetryAfter: 1}
	}
}

// responseTimeout is how long a call is waited for: longer than the registry waits
// for the stores.
func responseTimeout(call any) time.Duration {
	m, ok := call.(registry.MergeCall)
	if !ok {
		return baseResponseTimeout
	}
	size := 0
	for _, g := range m.Body.Items {
		size += len(g.Body) + len(g.Source) + len(g.Name)
	}
	return baseResponseTimeout + 2*(registry.CallTimeout(size)-registry.CallTimeout(0))
}

// Status asks the registry how things stand; an empty one if it doesn't answer.
func (s *Server) Status() registry.Status {
	status, _ := s.Do(func(id uint64) any { return registry.StatusCall{ID: id} }).Body.(registry.Status)
	return status
}

// Handler gives the pages under /v1.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/policy", s.getConfiguration)
	m.HandleFunc("GET "+RevisionPath, s.getRevision)
	m.HandleFunc("GET /v1/{kind}", s.listItems)
	m.HandleFunc("GET /v1/{kind}/{name}", s.getItem)
	m.HandleFunc("PUT /v1/{kind}/{name}", s.putItem)
	m.HandleFunc("DELETE /v1/{kind}/{name}", s.removeItem)
	m.HandleFunc("POST /v1/cells/{name}/{deed}", s.setZoneState)
	m.HandleFunc("POST /v1/change", func(rw http.ResponseWriter, r *http.Request) {
		if raw, ok := ReadBody(rw, r); ok {
			s.submitChange(rw, raw)
		}
	})
	m.HandleFunc("POST "+mergePath, s.submitMerge)
	m.HandleFunc("GET /v1/status", func(rw http.ResponseWriter, _ *http.Request) {
		WriteResponse(rw, s.Do(func(id uint64) any { return registry.StatusCall{ID: id} }))
	})
	m.HandleFunc("GET /v1/where", func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("route") == "" || q.Get("cell") == "" {
			WriteError(rw, 400, "route and cell must be given")
			return
		}
		WriteResponse(rw, s.Do(func(id uint64) any {
			return registry.ResolveCall{ID: id, Zone: ids.Name(q.Get("cell")), Route: ids.Name(q.Get("route"))}
		}))
	})
	m.HandleFunc("POST /v1/announce", func(rw http.ResponseWriter, r *http.Request) {
		raw, ok := ReadBody(rw, r)
		if !ok {
			return
		}
		t, bad := targets.ParseAnnouncement(raw)
		if len(bad) > 0 {
			if s.Log != nil {
				s.Log(event.LevelWarn, "announcement declined", "peer", r.RemoteAddr, "faults", fmt.Sprint(bad))
			}
			WriteResponse(rw, registry.Response{Status: 400, Body: map[string]any{"problem": "announcement declined", "errors": bad}})
			return
		}
		WriteResponse(rw, s.Do(func(id uint64) any { return registry.HeartbeatCall{ID: id, Target: t} }))
	})
	return m
}

// ReadBody reads a call's body, up to its limit.
func ReadBody(rw http.ResponseWriter, r *http.Request) ([]byte, bool) {
	most := int64(maxCallBody)
	// A whole configuration may come as one merging.
	if r.URL.Path == mergePath {
		most = maxMergeBody
	}
	raw, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, most))
	if _, big := err.(*http.MaxBytesError); big {
		WriteError(rw, 413, "body over the limit of "+strconv.FormatInt(most, 10)+" bytes")
		return nil, false
	}
	if err != nil {
		WriteError(rw, 400, "the body ended early")
		return nil, false
	}
	return raw, true
}

// WriteError answers with one problem.
func WriteError(rw http.ResponseWriter, status int, message string) {
	retry := 0
	if status == 503 || status == 504 {
		retry = 1
	}
	WriteResponse(rw, registry.Response{Status: status, Body: registry.ErrorResponse{Message: message}, RetryAfter: retry})
}

// WriteResponse answers a call.
func WriteResponse(rw http.ResponseWriter, r registry.Response) {
	rw.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(r.RetryAfter))
	}
	rw.WriteHeader(r.Status)
	_ = json.NewEncoder(rw).Encode(r.Body)
}

// Listen opens an HTTP port; Serve serves it until the context ends, and lets
// what is under way end within the grace.
func Listen(at string) (net.Listener, error) {
	l, err := net.Listen("tcp", at)
	return l, errs.Wrap(err, "listen", at)
}

// Serve serves a handler on a listener.
func Serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 64 << 10}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		c, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if s.Shutdown(c) != nil {
			s.Close()
		}
	})
	err := s.Serve(l)
	if !stop() {
		<-done
		return ctx.Err()
	}
	return errs.Wrap(err, "serve", l.Addr().String())
}
