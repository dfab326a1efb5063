package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

// ErrResponseTooLarge is returned for a registry's response over maxResponseBody.
var ErrResponseTooLarge = errors.New("response over the limit")

const (
	// dialTimeout is the timeout of a connection attempt to a registry. It leaves time for
	// further attempts within forwardWindow.
	dialTimeout = 250 * time.Millisecond
	// forwardWindow is how long after the arrival of a call attempts on further registries
	// may start, so that a daemon that reaches no registry answers within a second.
	forwardWindow = 600 * time.Millisecond
	// forwardTimeout is the timeout of one attempt. It is longer than the registry's own
	// timeout, so that the registry's answer comes first.
	forwardTimeout = baseResponseTimeout + time.Second
	// maxResponseBody is the maximum size of a registry's response, in bytes. The largest
	// response is the whole configuration.
	maxResponseBody = 96 << 20
)

var (
	// forwardedHeaders are the request headers that are forwarded to the registry.
	forwardedHeaders = []string{headerChangeID, "If-Match", "Content-Type"}
	// returnedHeaders are the response headers that are returned to the client.
	returnedHeaders = []string{"Content-Type", "Retry-After", "Etag", "Location"}
)

// Forwarder forwards API calls to a registry.
type Forwarder struct {
	// Registries returns the HTTP addresses of the live registries, in order of preference.
	Registries func() []ids.Address
	Client     *http.Client
}

// registryResponse is a complete response of a registry.
type registryResponse struct {
	status int
	header http.Header
	body   []byte
}

// NewForwarder returns a forwarder. Each attempt opens its own connection: on a kept-alive
// connection that was broken by a network partition, a call would be lost and its outcome
// unknown. Redirects aren't followed and proxies from the environment aren't used, so that
// each attempt sends the call exactly once.
func NewForwarder(registries func() []ids.Address) *Forwarder {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Forwarder{Registries: registries, Client: &http.Client{Transport: transport, CheckRedirect: noRedirects, Timeout: forwardTimeout}}
}

// ServeHTTP tries the registries one after the other until one that can reach a majority of
// stores answers. All copies of a change have the same ID, so that it is applied once.
func (f *Forwarder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	if r.Header.Get(headerChangeID) == "" {
		r.Header.Set(headerChangeID, NewChangeID())
	}
	response, mayHaveRun := f.tryRegistries(r, body)
	switch {
	case response != nil && !(mayHaveRun && response.status == http.StatusServiceUnavailable):
		writeRegistryResponse(rw, response)
	case mayHaveRun:
		// Not a 503, which means that the change had no effect.
		WriteError(rw, http.StatusGatewayTimeout, "uncertain: no registry answered; send it again under the same id")
	default:
		WriteError(rw, http.StatusServiceUnavailable, "no registry can be reached")
	}
}

// tryRegistries sends a call to one registry after the other until one answers with a
// status other than 503. It returns the last response, or nil if there was none, and
// whether a registry that didn't answer may have applied the call.
func (f *Forwarder) tryRegistries(r *http.Request, body []byte) (last *registryResponse, mayHaveRun bool) {
	arrived := time.Now()
	for _, address := range f.Registries() {
		if time.Since(arrived) > forwardWindow {
			break
		}
		response, err := f.send(r, address, body)
		if err != nil {
			mayHaveRun = mayHaveRun || r.Method != http.MethodGet && !failedToConnect(err)
			continue
		}
		last = response
		if response.status != http.StatusServiceUnavailable {
			break
		}
	}
	return last, mayHaveRun
}

// send sends a call to one registry and reads the whole response; a truncated response is
// an error. The call isn't canceled when the client closes its side, because the client of
// a half-closed connection may still read the answer; forwardTimeout limits the call.
func (f *Forwarder) send(r *http.Request, address ids.Address, body []byte) (*registryResponse, error) {
	ctx := context.WithoutCancel(r.Context())
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+string(address)+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	copyHeaders(request.Header, r.Header, forwardedHeaders)
	response, err := f.Client.Do(request)
	if err != nil {
		return nil, err
	}
	// The body has been read, or reading it failed.
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxResponseBody {
		return nil, errs.New("forward call", string(address), "%w of %d bytes", ErrResponseTooLarge, maxResponseBody)
	}
	return &registryResponse{response.StatusCode, response.Header, raw}, nil
}

// copyHeaders copies the named headers that are set.
func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// failedToConnect reports whether a call failed before any of it was sent.
func failedToConnect(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func writeRegistryResponse(rw http.ResponseWriter, response *registryResponse) {
	copyHeaders(rw.Header(), response.header, returnedHeaders)
	rw.WriteHeader(response.status)
	// Write fails only if the client has disconnected.
	_, _ = rw.Write(response.body)
}
