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

// ErrResponseTooLarge is the error of a registry's response over maxResponseBody.
var ErrResponseTooLarge = errors.New("response over the limit")

const (
	// dialTimeout is how long a registry may take to accept a connection: many round
	// trips within a region, and short enough to try two more within forwardWindow.
	dialTimeout = 250 * time.Millisecond
	// forwardWindow is how long after its arrival a call is still handed to another
	// registry, so that a daemon that reaches none says so within a second.
	forwardWindow = 600 * time.Millisecond
	// forwardTimeout bounds one try. It lets the registry's own time-out come first.
	forwardTimeout = baseResponseTimeout + time.Second
	// maxResponseBody bounds a registry's response, in bytes. The largest is the whole
	// configuration.
	maxResponseBody = 96 << 20
)

var (
	// forwardedHeaders are the headers of a call that are handed on.
	forwardedHeaders = []string{headerChangeID, "If-Match", "Content-Type"}
	// returnedHeaders are the headers of a response that are handed back.
	returnedHeaders = []string{"Content-Type", "Retry-After", "Etag", "Location"}
)

// Forwarder hands API calls on to a registry.
type Forwarder struct {
	// Registries lists the live registries' HTTP addresses, in the order to try them.
	Registries func() []ids.Address
	Client     *http.Client
}

// registryResponse is a registry's response, read whole.
type registryResponse struct {
	status int
	header http.Header
	body   []byte
}

// NewForwarder makes a forwarder. Each try opens a connection of its own: one that was
// kept from before a network cut would lose the call, and leave open whether it
// arrived. Redirects aren't followed and proxies of the environment not used, so a call
// leaves once for each registry that is tried.
func NewForwarder(registries func() []ids.Address) *Forwarder {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Forwarder{Registries: registries, Client: &http.Client{Transport: transport, CheckRedirect: noRedirects, Timeout: forwardTimeout}}
}

// ServeHTTP tries one registry after the other until one answers that has a majority.
// The copies of a change have one id, so that they are applied once.
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
		// A 503 would say that the change had no effect.
		WriteError(rw, http.StatusGatewayTimeout, "uncertain: no registry answered; send it again under the same id")
	default:
		WriteError(rw, http.StatusServiceUnavailable, "no registry can be reached")
	}
}

// tryRegistries hands a call to registries until one answers other than 503. It gives
// the last response, nil if there was none, and whether a registry that didn't answer
// may have applied the call.
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

// send hands a call to one registry and reads its response whole: one that is cut short
// is an error, and must not be handed back as if it were whole. The call goes on if the
// client closes its side, as a half-closed connection may still be read; forwardTimeout
// ends it.
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
	// It is read already, or failed to be.
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

// copyHeaders copies those of some headers that are set.
func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// failedToConnect reports whether a call failed before any of it could arrive.
func failedToConnect(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func writeRegistryResponse(rw http.ResponseWriter, response *registryResponse) {
	copyHeaders(rw.Header(), response.header, returnedHeaders)
	rw.WriteHeader(response.status)
	// It fails only if the client is gone.
	_, _ = rw.Write(response.body)
}
