package api

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// testRegistry is a registry with its API server and one store that accepts every request.
type testRegistry struct {
	*Server
	mu       sync.Mutex
	registry *registry.Registry
	value    []byte
	now      ids.Time
}

// newTestRegistry returns a registry that has discovered its store.
func newTestRegistry() *testRegistry {
	self := membership.Member{ID: "f", Role: membership.Registry, Address: "10.0.0.1:1", RunID: 1, Zone: "north"}
	t := &testRegistry{Server: &Server{}, now: 1}
	t.registry = registry.New(registry.Options{Options: membership.Options{Self: self}, Random: rand.New(rand.NewPCG(1, 1))})
	t.Put = func(ev any) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.step(ev)
	}
	t.step(event.Received{From: "10.0.0.2:1", Message: membership.Heartbeat{Self: membership.Member{ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true}}})
	for range 3 {
		t.now += 200e6
		t.step(event.Tick{})
	}
	return t
}

// step passes an event to the state machine, and delivers the store's responses to it.
func (t *testRegistry) step(ev event.Event) {
	for _, c := range t.registry.Step(t.now, ev) {
		switch c := c.(type) {
		case event.Send:
			if r, ok := c.Message.(consensus.Request); ok {
				t.step(event.Received{From: c.To, Message: t.respond(r)})
			}
		case registry.Response:
			t.HandleResponse(c)
		}
	}
}

// respond returns the store's response to a request.
func (t *testRegistry) respond(r consensus.Request) consensus.Response {
	out := t.value
	if change := configuration.Ops()[r.Op]; change != nil && r.Key == configuration.Key {
		t.value, out = change(r.Key, t.value, r.Arg)
	}
	return consensus.Response{ID: r.ID, Attempt: r.Attempt, Outcome: consensus.Succeeded, Result: out}
}

// revision returns the revision of the configuration in the store.
func (t *testRegistry) revision() ids.Revision {
	p, err := configuration.Decode(t.value)
	if err != nil {
		return 0
	}
	return p.Revision
}

// call makes an API call with match as its If-Match header.
func (t *testRegistry) call(method, path, match, body string) *httptest.ResponseRecorder {
	r := &http.Request{
		Method: method, URL: &url.URL{Path: "/v1/" + path}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: "h",
		Header: http.Header{"If-Match": {match}}, Body: http.NoBody, RemoteAddr: "10.0.0.9:1",
	}
	if body != "" {
		r.Body = http.MaxBytesReader(nil, readCloser{strings.NewReader(body)}, maxMergeBody)
	}
	rw := httptest.NewRecorder()
	t.Handler().ServeHTTP(rw, r)
	return rw
}

// readCloser is a request body in memory.
type readCloser struct{ *strings.Reader }

// Close does nothing.
func (readCloser) Close() error { return nil }

// FuzzCalls checks that each call gets a documented status, and that calls with another
// status than 200 and reads don't change the configuration.
func FuzzCalls(f *testing.F) {
	for _, c := range [][4]string{
		{"PUT", "services/wader", "", `{}`},
		{"PUT", "routes/mud", `"3"`, `{"prefix":"/mud/","service":"wader","repeatable":true}`},
		{"DELETE", "services/wader", "1", ""},
		{"POST", "cells/north/empty", "", ""},
		{"POST", "cells/north/none", "", ""},
		{"POST", "change", "", `{"id":"a","changes":[{"kind":"cell","name":"north","put":{}}]}`},
		{"POST", "change", "", `{"id":"a","changes":[]}`},
		{"POST", "merge", "", `{"items":[{"kind":"service","name":"wader","version":7,"body":{}}]}`},
		{"GET", "policy", "", ""},
		{"GET", "services", "", ""},
		{"GET", "routes/mud", "", ""},
		{"GET", "status", "", ""},
		{"GET", "where", "", ""},
		{"POST", "announce", "", `{"instance":"i","incarnation":1,"sequence":1,"service":"wader","address":"10.0.0.5:80","cell":"north","warmth":1}`},
	} {
		f.Add(c[0], c[1], c[2], c[3])
	}
	f.Fuzz(func(t *testing.T, method, path, match, body string) {
		r := newTestRegistry()
		r.call("PUT", "services/wader", "", `{}`)
		before, value := r.revision(), string(r.value)
		if before != 1 {
			t.Fatalf("got revision %d after the first change, want 1", before)
		}
		rw := r.call(method, path, match, body)
		switch rw.Code {
		case 200, 301, 307, 308, 400, 404, 405, 409, 413, 503, 504:
		default:
			t.Fatalf("%s %q: status %d", method, path, rw.Code)
		}
		after := r.revision()
		if rw.Code != 200 && after != before {
			t.Fatalf("%s %q changed the configuration with status %d", method, path, rw.Code)
		}
		if method == http.MethodGet && string(r.value) != value {
			t.Fatalf("GET %q changed the configuration", path)
		}
	})
}
