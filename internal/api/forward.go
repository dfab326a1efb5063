package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"dunlinwell/internal/errs"
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

// NewFerry makes a Forwarder. Its client sends each call on a connection of its
// own, follows no redirect and goes through no proxy of the environment: a call
// leaves once for each registry that is tried, and an answer belongs to it alone.
func NewFerry(registries func() []ids.Address) *Forwarder {
	return &Forwarder{Registries: registries, Client: &http.Client{
		Timeout:       responseTime + time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 64 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// mostAnswer bounds a registry's answer, the largest of which is the whole policy.
const mostAnswer = 96 << 20

// passed are the headers that go along with a call, and returned those that come
// back with its answer.
var (
	passed   = []string{"Change-Id", "If-Match", "Content-Type"}
	returned = []string{"Content-Type", "Retry-After", "Etag", "Location"}
)

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
		res, body, err := f.call(r, at, raw)
		if err != nil {
			maybe = maybe || r.Method != http.MethodGet && !neverLeft(err)
			continue
		}
		for _, h := range returned {
			if v := res.Header.Get(h); v != "" {
				rw.Header().Set(h, v)
			}
		}
		rw.WriteHeader(res.StatusCode)
		_, _ = rw.Write(body)
		return
	}
	if maybe {
		Say(rw, 504, "uncertain: no registry answered; send it again under the same id")
		return
	}
	Say(rw, 503, "no registry can be reached")
}

// call asks one registry, and reads its answer whole: one that is cut short is
// no answer, and must not be passed on as if it were.
func (f *Forwarder) call(r *http.Request, at ids.Address, raw []byte) (*http.Response, []byte, error) {
	// A caller that has closed its side may still read; the time limit ends it.
	req, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, "http://"+string(at)+r.URL.RequestURI(), bytes.NewReader(raw))
	if err != nil {
		return nil, nil, err
	}
	for _, h := range passed {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	res, err := f.Client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, mostAnswer+1))
	if err == nil && len(body) > mostAnswer {
		err = errs.New("forward call", string(at), "answer over the limit of %d bytes", mostAnswer)
	}
	return res, body, err
}

// neverLeft tells whether a call failed before any connection was there.
func neverLeft(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
