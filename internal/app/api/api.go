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
	Log  func(level event.Level, name event.LogEvent, fields ...string)
	next atomic.Uint64
	mu   sync.Mutex
	open map[uint64]chan registry.Response
}

const (
	mostCall     = 1 << 20
	mostMerging  = 64 << 20
	responseTime = 5 * time.Second
)

// Responded takes the owner's reply.
func (w *Server) Responded(r registry.Response) {
	w.mu.Lock()
	c := w.open[r.ID]
	delete(w.open, r.ID)
	w.mu.Unlock()
	if c != nil {
		c <- r
	}
}

// Ask hands an event in and waits for its reply.
func (w *Server) Do(make1 func(id uint64) any) registry.Response {
	id := w.next.Add(1)
	c := make(chan registry.Response, 1)
	w.mu.Lock()
	if w.open == nil {
		w.open = map[uint64]chan registry.Response{}
	}
	w.open[id] = c
	w.mu.Unlock()
	call := make1(id)
	w.Put(call)
	select {
	case r := <-c:
		return r
	case <-time.After(patience(call)):
		w.mu.Lock()
		delete(w.open, id)
		w.mu.Unlock()
		return registry.Response{Status: 504, Body: registry.ErrorResponse{Message: "uncertain: no answer in time"}, RetryAfter: 1}
	}
}

// patience is how long a call is waited for: longer than the registry waits
// for the stores.
func patience(call any) time.Duration {
	m, ok := call.(registry.MergeCall)
	if !ok {
		return responseTime
	}
	size := 0
	for _, g := range m.Body.Items {
		size += len(g.Body) + len(g.Source) + len(g.Name)
	}
	return responseTime + 2*(registry.CallWait(size)-registry.CallWait(0))
}

// Status asks the registry how things stand; an empty one if it doesn't answer.
func (w *Server) Status() registry.Status {
	s, _ := w.Do(func(id uint64) any { return registry.StatusCall{ID: id} }).Body.(registry.Status)
	return s
}

// Handler gives the pages under /v1.
func (w *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/policy", w.configuration)
	m.HandleFunc("GET "+RevisionPage, w.revision)
	m.HandleFunc("GET /v1/{kind}", w.list)
	m.HandleFunc("GET /v1/{kind}/{name}", w.one)
	m.HandleFunc("PUT /v1/{kind}/{name}", w.put)
	m.HandleFunc("DELETE /v1/{kind}/{name}", w.remove)
	m.HandleFunc("POST /v1/cells/{name}/{deed}", w.deed)
	m.HandleFunc("POST /v1/change", func(rw http.ResponseWriter, r *http.Request) {
		if raw, ok := Body(rw, r); ok {
			w.change(rw, raw)
		}
	})
	m.HandleFunc("POST "+mergePage, w.merge)
	m.HandleFunc("GET /v1/status", func(rw http.ResponseWriter, _ *http.Request) {
		Write(rw, w.Do(func(id uint64) any { return registry.StatusCall{ID: id} }))
	})
	m.HandleFunc("GET /v1/where", func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("route") == "" || q.Get("cell") == "" {
			Say(rw, 400, "route and cell must be given")
			return
		}
		Write(rw, w.Do(func(id uint64) any {
			return registry.ResolveCall{ID: id, Zone: ids.Name(q.Get("cell")), Route: ids.Name(q.Get("route"))}
		}))
	})
	m.HandleFunc("POST /v1/announce", func(rw http.ResponseWriter, r *http.Request) {
		raw, ok := Body(rw, r)
		if !ok {
			return
		}
		t, bad := targets.ReadAnnouncement(raw)
		if len(bad) > 0 {
			if w.Log != nil {
				w.Log(event.LevelWarn, "announcement declined", "peer", r.RemoteAddr, "faults", fmt.Sprint(bad))
			}
			Write(rw, registry.Response{Status: 400, Body: map[string]any{"problem": "announcement declined", "errors": bad}})
			return
		}
		Write(rw, w.Do(func(id uint64) any { return registry.HeartbeatCall{ID: id, Target: t} }))
	})
	return m
}

// Body reads a call's body, up to its limit.
func Body(rw http.ResponseWriter, r *http.Request) ([]byte, bool) {
	most := int64(mostCall)
	// A whole configuration may come as one merging.
	if r.URL.Path == mergePage {
		most = mostMerging
	}
	raw, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, most))
	if _, big := err.(*http.MaxBytesError); big {
		Say(rw, 413, "body over the limit of "+strconv.FormatInt(most, 10)+" bytes")
		return nil, false
	}
	if err != nil {
		Say(rw, 400, "the body ended early")
		return nil, false
	}
	return raw, true
}

// Say answers with one problem.
func Say(rw http.ResponseWriter, status int, why string) {
	retry := 0
	if status == 503 || status == 504 {
		retry = 1
	}
	Write(rw, registry.Response{Status: status, Body: registry.ErrorResponse{Message: why}, RetryAfter: retry})
}

// Write answers a call.
func Write(rw http.ResponseWriter, r registry.Response) {
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
