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

// testRegistry is a registry behind its API, with one store that agrees at once.
type testRegistry struct {
	*Server
	mu       sync.Mutex
	registry *registry.Registry
	value    []byte
	now      ids.Time
}

// newTestRegistry gives a registry that has found its store.
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

// step steps the machine, and the store that answers it.
func (t *testRegistry) step(ev event.Event) {
	for _, c := range t.registry.Step(t.now, ev) {
		switch c := c.(type) {
		case event.Send:
			if r, ok := c.Message.(consensus.Request); ok {
				t.step(event.Received{From: c.To, Message: t.agree(r)})
			}
		case registry.Response:
			t.HandleResponse(c)
		}
	}
}

// agree is what the store answers.
func (t *testRegistry) agree(r consensus.Request) consensus.Response {
	out := t.value
	if change := configuration.Ops()[r.Op]; change != nil && r.Key == configuration.Key {
		t.value, out = change(r.Key, t.value, r.Arg)
	}
	return consensus.Response{ID: r.ID, Attempt: r.Attempt, Outcome: consensus.Succeeded, Result: out}
}

// revision gives the revision of the configuration that the store holds.
func (t *testRegistry) revision() ids.Revision {
	p, err := configuration.Decode(t.value)
	if err != nil {
		return 0
	}
	return p.Revision
}

// call sends a call to the API; match is its header If-Match.
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

// readCloser is a body in memory.
type readCloser struct{ *strings.Reader }

// Close does nothing.
func (readCloser) Close() error { return nil }

// FuzzCalls gives the API any call: one that isn't answered with 200 changes nothing,
// and each gets one of the documented answers.
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
			t.Fatalf("the first change gave revision %d", before)
		}
		rw := r.call(method, path, match, body)
		switch rw.Code {
		case 200, 301, 307, 308, 400, 404, 405, 409, 413, 503, 504:
		default:
			t.Fatalf("%s %q: status %d", method, path, rw.Code)
		}
		after := r.revision()
		if rw.Code != 200 && after != before {
			t.Fatalf("%s %q was answered %d, and changed the configuration", method, path, rw.Code)
		}
		if method == http.MethodGet && string(r.value) != value {
			t.Fatalf("reading %q changed something", path)
		}
	})
}
