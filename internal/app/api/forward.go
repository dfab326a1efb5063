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

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

func sortedNames(m map[ids.Name]configuration.Item) []ids.Name {
	return slices.Sorted(maps.Keys(m))
}

// Forwarder carries control calls from a daemon that can't answer them to a
// registry, so that an operator may talk to any daemon.
type Forwarder struct {
	// Registries names those alive, best first.
	Registries func() []ids.Address
	Client     *http.Client
}

const (
	// dialTimeout is how long a registry may take to open a connection.
	dialTimeout = 250 * time.Millisecond
	// forwardWindow is how long after its arrival a call is still handed to
	// another registry, so that a daemon that reaches none says so in a second.
	forwardWindow = 600 * time.Millisecond
	// maxResponseBody bounds a registry's answer, the largest of which is the configuration.
	maxResponseBody = 96 << 20
)

// passedOn are the headers that go along with a call, and passedBack those that
// come back with its answer.
var (
	forwardedHeaders = []string{"Change-Id", "If-Match", "Content-Type"}
	returnedHeaders  = []string{"Content-Type", "Retry-After", "Etag", "Location"}
)

// registryResponse is a registry's answer, read whole.
type registryResponse struct {
	status int
	header http.Header
	body   []byte
}

// NewForwarder makes a forwarder. Each call opens a connection of its own: one kept from
// before a cut would swallow the call, and leave it open whether it arrived. No
// redirect is followed, and no proxy of the environment used: a call leaves once
// for each registry that is tried.
func NewForwarder(registries func() []ids.Address) *Forwarder {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Forwarder{Registries: registries, Client: &http.Client{Transport: transport, CheckRedirect: stay, Timeout: baseResponseTimeout + time.Second}}
}

// ServeHTTP tries one registry after the other, until one answers that has a
// majority. A change has its id before it leaves, so one that was sent twice
// still is one change.
func (f *Forwarder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	arrived := time.Now()
	if r.Header.Get("Change-Id") == "" {
		r.Header.Set("Change-Id", NewChangeID())
	}
	var last *registryResponse
	mayHaveRun := false
	for _, at := range f.Registries() {
		if time.Since(arrived) > forwardWindow {
			break
		}
		response, err := f.send(r, at, raw)
		if err != nil {
			mayHaveRun = mayHaveRun || r.Method != http.MethodGet && !failedToConnect(err)
			continue
		}
		last = response
		if response.status != http.StatusServiceUnavailable {
			break
		}
	}
	switch {
	case last != nil && !(mayHaveRun && last.status == http.StatusServiceUnavailable):
		writeRegistryResponse(rw, last)
	case mayHaveRun:
		WriteError(rw, 504, "uncertain: no registry answered; send it again under the same id")
	default:
		WriteError(rw, 503, "no registry can be reached")
	}
}

// send hands a call to one registry, and reads its answer whole: one that is cut
// short is none, and must not be passed on as if it were. A caller that has
// closed its side may still read; the time limit ends it.
func (f *Forwarder) send(r *http.Request, at ids.Address, raw []byte) (*registryResponse, error) {
	req, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, "http://"+string(at)+r.URL.RequestURI(), bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	for _, h := range forwardedHeaders {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	response, err := f.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = errs.New("forward call", string(at), "answer over the limit of %d bytes", maxResponseBody)
	}
	return &registryResponse{response.StatusCode, response.Header, body}, err
}

// failedToConnect tells whether a call failed before any of it could arrive.
func failedToConnect(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// writeRegistryResponse gives a registry's answer to the caller.
func writeRegistryResponse(rw http.ResponseWriter, response *registryResponse) {
	for _, h := range returnedHeaders {
		if v := response.header.Get(h); v != "" {
			rw.Header().Set(h, v)
		}
	}
	rw.WriteHeader(response.status)
	_, _ = rw.Write(response.body)
}
