package api

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"dunlinwell/internal/ids"
	"dunlinwell/internal/policy"
)

func sortedNames(m map[ids.Name]policy.Item) []ids.Name {
	return slices.Sorted(maps.Keys(m))
}

// Ferry carries control calls from a daemon that can't answer them to a
// registry, so that an operator may talk to any daemon.
type Forwarder struct {
	// Registries names those alive, best first.
	Registries func() []ids.Address
	Client     *http.Client
}

// NewFerry makes a ferry.
func NewFerry(registries func() []ids.Address) *Forwarder {
	return &Forwarder{Registries: registries, Client: &http.Client{Timeout: responseTime + time.Second}}
}

// ServeHTTP tries one registry after the other. A change has its id before it
// leaves, so one that was sent twice still is one change.
func (f *Forwarder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, ok := Body(rw, r)
	if !ok {
		return
	}
	if r.Header.Get("Change-Id") == "" {
		r.Header.Set("Change-Id", NewChange())
	}
	maybe := false
	for _, at := range f.Registries() {
		// A caller that has closed its side may still read; the time limit ends it.
		req, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, "http://"+string(at)+r.URL.RequestURI(), bytes.NewReader(raw))
		if err != nil {
			Say(rw, 400, "the call can't be ferried: "+err.Error())
			return
		}
		for _, h := range []string{"Change-Id", "If-Match", "Content-Type"} {
			if v := r.Header.Get(h); v != "" {
				req.Header.Set(h, v)
			}
		}
		res, err := f.Client.Do(req)
		if err != nil {
			maybe = maybe || r.Method != http.MethodGet
			continue
		}
		defer res.Body.Close()
		for _, h := range []string{"Content-Type", "Retry-After", "Etag"} {
			if v := res.Header.Get(h); v != "" {
				rw.Header().Set(h, v)
			}
		}
		rw.WriteHeader(res.StatusCode)
		_, _ = io.Copy(rw, res.Body)
		return
	}
	if maybe {
		Say(rw, 504, "uncertain: no registry answered; send it again under the same id")
		return
	}
	Say(rw, 503, "no registry can be reached")
}
