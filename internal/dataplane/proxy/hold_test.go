package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/dataplane/dispatch"
)

// blockingBody is a body of which a part has come, and the rest is awaited.
type blockingBody struct {
	prefix     io.Reader
	prefixRead chan struct{}
	finish     chan struct{}
	once       sync.Once
}

func (a *blockingBody) Read(p []byte) (int, error) {
	if n, err := a.prefix.Read(p); err == nil {
		return n, nil
	}
	a.once.Do(func() { close(a.prefixRead) })
	<-a.finish
	return 0, io.EOF
}

func newBodyRequest(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest("POST", "/x", body)
	r.ContentLength = length
	return r
}

// All bodies together are bounded, whole or not yet, with a length or in chunks;
// what doesn't fit is told so at once, and what ends makes room.
func TestReadBody_SharesMemoryBudget(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	d.memory.limit = 100 << 10
	take := func(n int, length int64) (*MemoryReservation, error) {
		b, h, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader(strings.Repeat("x", n)), length), 1<<20, time.Time{})
		if err == nil {
			is.Equal(len(b), n)
		}
		return h, err
	}
	first, err := take(60<<10, 60<<10)
	is.NoErr(err)
	_, err = take(60<<10, 60<<10)
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	second, err := take(30<<10, 30<<10)
	is.NoErr(err)
	_, err = take(30<<10, -1) // in chunks
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	is.Equal(d.memory.reserved.Load(), int64(90<<10)) // what was rejected holds nothing
	first.Release()
	first.Release()
	third, err := take(30<<10, -1)
	is.NoErr(err)
	is.True(d.memory.reserved.Load() <= d.memory.limit)
	second.Release()
	third.Release()
	is.Equal(d.memory.reserved.Load(), int64(0))
	// One that is over the limit, or ends early, holds nothing.
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("12345"), 5), 4, time.Time{})
	var big *http.MaxBytesError
	is.True(errors.As(err, &big))
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("12345"), -1), 4, time.Time{})
	is.True(errors.As(err, &big))
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("123"), 5), 10, time.Time{})
	is.True(err != nil && !errors.As(err, &big))
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// A body that comes slowly counts while it comes.
func TestReadBody_CountsPartialBody(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	d.memory.limit = 128 << 10
	for _, length := range []int64{40 << 10, -1} {
		a := &blockingBody{prefix: strings.NewReader(strings.Repeat("x", 40<<10)), prefixRead: make(chan struct{}), finish: make(chan struct{})}
		done := make(chan error)
		go func() {
			_, h, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(a, length), 1<<20, time.Time{})
			h.Release()
			done <- err
		}()
		select {
		case <-a.prefixRead:
		case <-done: // with its length known it is whole already
		}
		if length < 0 {
			_, _, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader(strings.Repeat("y", 70<<10)), 70<<10), 1<<20, time.Time{})
			is.True(errors.Is(err, ErrMemoryBudgetExceeded))
			close(a.finish)
			is.NoErr(<-done)
		}
	}
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// Answers count as well, though none is refused: it has been run for.
func TestForward_CountsResponseBytes(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newPlainDaemon(0)
	d.Options.MaxResponseBytes, d.memory.limit = 50<<10, 40<<10
	s.respond = func(r *http.Request) string { return responseFor(r, r.Header.Get("Id"), strings.Repeat("z", 50<<10)) }
	h := &MemoryReservation{budget: &d.memory}
	is.Equal(d.forwardReserved(s, "a", h).Result, dispatch.Complete)
	is.Equal(d.memory.reserved.Load(), int64(50<<10))
	_, _, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("x"), 1), 10, time.Time{})
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	_, empty, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(http.NoBody, 0), 10, time.Time{})
	is.NoErr(err) // what has no body needs no room
	empty.Release()
	h.Release()
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// At the proxy's own front: rejected at once, with when to come back.
func TestHandleClientRequest_RejectsWhenMemoryIsExhausted(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	d.setRoute("orders")
	d.memory.limit = 4
	w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader("12345"))
	r.Header.Set("Idempotency-Key", "m")
	r.Header.Set("Attempt", "1")
	d.handler(true).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Header().Get("Dunlinwell-Class"), "declined")
	// A later attempt may have run before, and isn't told that it surely hasn't.
	w, r = httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader("12345"))
	r.Header.Set("Idempotency-Key", "m")
	r.Header.Set("Attempt", "2")
	d.handler(true).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusGatewayTimeout)
}
