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

// testRegistry is a registry with one store that agrees at once, behind its pages.
type testRegistry struct {
	*Server
	mu       sync.Mutex
	registry *registry.Registry
	value    []byte
	now      ids.Time
}

func newTestRegistry() *testRegistry {
	self := membership.Member{ID: "f", Role: membership.Registry, Address: "10.0.0.1:1", RunID: 1, Zone: "north"}
	o := &testRegistry{Server: &Server{}, now: 1}
	o.registry = registry.New(registry.Options{Options: membership.Options{Self: self}, Random: rand.New(rand.NewPCG(1, 1))})
	o.Put = func(ev any) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.step(ev)
	}
	o.step(event.Received{From: "10.0.0.2:1", Msg: membership.Heartbeat{Self: membership.Member{ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true}}})
	for range 3 {
		o.now += 200e6
		o.step(event.Tick{})
	}
	return o
}

func (o *testRegistry) step(ev event.Event) {
	for _, c := range o.registry.Step(o.now, ev) {
		switch c := c.(type) {
		case event.Send:
			if r, ok := c.Msg.(consensus.Request); ok {
				o.step(event.Received{From: c.To, Msg: o.agree(r)})
			}
		case registry.Response:
			o.HandleResponse(c)
		}
	}
}

// agree is the store's part.
func (o *testRegistry) agree(r consensus.Request) consensus.Response {
	out := o.value
	if change := configuration.Ops()[r.Op]; change != nil && r.Key == configuration.Key {
		o.value, out = change(r.Key, o.value, r.Arg)
	}
	return consensus.Response{ID: r.ID, Attempt: r.Attempt, Outcome: consensus.Succeeded, Result: out}
}

func (o *testRegistry) revision() ids.Revision {
	p, err := configuration.Decode(o.value)
	if err != nil {
		return 0
	}
	return p.Revision
}

func (o *testRegistry) call(method, path, match, body string) *httptest.ResponseRecorder {
	r := &http.Request{
		Method: method, URL: &url.URL{Path: "/v1/" + path}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: "h",
		Header: http.Header{"If-Match": {match}}, Body: http.NoBody, RemoteAddr: "10.0.0.9:1",
	}
	if body != "" {
		r.Body = http.MaxBytesReader(nil, readCloser{strings.NewReader(body)}, maxMergeBody)
	}
	rw := httptest.NewRecorder()
	o.Handler().ServeHTTP(rw, r)
	return rw
}

type readCloser struct{ *strings.Reader }

// Close does nothing.
func (readCloser) Close() error { return nil }

// FuzzCalls gives the control pages any call: one that isn't answered with
// success changes nothing, and each gets one of the documented answers.
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
		o := newTestRegistry()
		o.call("PUT", "services/wader", "", `{}`)
		before, value := o.revision(), string(o.value)
		if before != 1 {
			t.Fatalf("the first change gave revision %d", before)
		}
		rw := o.call(method, path, match, body)
		switch rw.Code {
		case 200, 301, 307, 308, 400, 404, 405, 409, 413, 503, 504:
		default:
			t.Fatalf("%s %q: status %d", method, path, rw.Code)
		}
		after := o.revision()
		if rw.Code != 200 && after != before {
			t.Fatalf("%s %q was answered %d, and changed the policy", method, path, rw.Code)
		}
		if method == http.MethodGet && string(o.value) != value {
			t.Fatalf("reading %q changed something", path)
		}
	})
}
