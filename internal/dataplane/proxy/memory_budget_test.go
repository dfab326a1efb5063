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

// blockingBody is a body that blocks between its prefix and its end.
type blockingBody struct {
	prefix     io.Reader
	prefixRead chan struct{}
	finish     chan struct{}
	once       sync.Once
}

func (b *blockingBody) Read(p []byte) (int, error) {
	if n, err := b.prefix.Read(p); err == nil {
		return n, nil
	}
	b.once.Do(func() { close(b.prefixRead) })
	<-b.finish
	return 0, io.EOF
}

func newBodyRequest(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest("POST", "/x", body)
	r.ContentLength = length
	return r
}

// All bodies, of known and unknown length, share one budget. One that doesn't fit is rejected
// immediately.
func TestReadBody_SharesMemoryBudget(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	d.memory.limit = 100 << 10
	readBody := func(n int, length int64) (*MemoryReservation, error) {
		body, reservation, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader(strings.Repeat("x", n)), length), 1<<20, time.Time{})
		if err == nil {
			is.Equal(len(body), n)
		}
		return reservation, err
	}
	first, err := readBody(60<<10, 60<<10)
	is.NoErr(err)
	_, err = readBody(60<<10, 60<<10)
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	second, err := readBody(30<<10, 30<<10)
	is.NoErr(err)
	_, err = readBody(30<<10, -1) // unknown length
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	is.Equal(d.memory.reserved.Load(), int64(90<<10)) // nothing is reserved for rejected bodies
	first.Release()
	first.Release()
	third, err := readBody(30<<10, -1)
	is.NoErr(err)
	is.True(d.memory.reserved.Load() <= d.memory.limit)
	second.Release()
	third.Release()
	is.Equal(d.memory.reserved.Load(), int64(0))
	// Nothing is reserved for a body that exceeds the limit or ends early.
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("12345"), 5), 4, time.Time{})
	var tooLarge *http.MaxBytesError
	is.True(errors.As(err, &tooLarge))
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("12345"), -1), 4, time.Time{})
	is.True(errors.As(err, &tooLarge))
	_, _, err = d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("123"), 5), 10, time.Time{})
	is.True(err != nil && !errors.As(err, &tooLarge))
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// A partially received body is counted.
func TestReadBody_CountsPartialBody(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	d.memory.limit = 128 << 10
	for _, length := range []int64{40 << 10, -1} {
		slow := &blockingBody{prefix: strings.NewReader(strings.Repeat("x", 40<<10)), prefixRead: make(chan struct{}), finish: make(chan struct{})}
		done := make(chan error)
		go func() {
			_, reservation, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(slow, length), 1<<20, time.Time{})
			reservation.Release()
			done <- err
		}()
		select {
		case <-slow.prefixRead:
		case err := <-done: // a body of known length is complete after the prefix
			is.NoErr(err)
		}
		if length < 0 {
			_, _, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader(strings.Repeat("y", 70<<10)), 70<<10), 1<<20, time.Time{})
			is.True(errors.Is(err, ErrMemoryBudgetExceeded))
			close(slow.finish)
			is.NoErr(<-done)
		}
	}
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// Response bodies are counted but never rejected, as their requests have already run.
func TestForward_CountsResponseBytes(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	d.Options.MaxResponseBytes, d.memory.limit = 50<<10, 40<<10
	target.respond = func(r *http.Request) string { return plainResponse(r.Header.Get("Id"), strings.Repeat("z", 50<<10)) }
	reservation := &MemoryReservation{budget: &d.memory}
	is.Equal(d.forwardRequest(target, &ClientRequest{AttemptID: "a", Memory: reservation}, false, 5*time.Second).Result, dispatch.Complete)
	is.Equal(d.memory.reserved.Load(), int64(50<<10))
	_, _, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(strings.NewReader("x"), 1), 10, time.Time{})
	is.True(errors.Is(err, ErrMemoryBudgetExceeded))
	_, empty, err := d.ReadBody(httptest.NewRecorder(), newBodyRequest(http.NoBody, 0), 10, time.Time{})
	is.NoErr(err) // an empty body needs no memory
	empty.Release()
	reservation.Release()
	is.Equal(d.memory.reserved.Load(), int64(0))
}

// A request whose body doesn't fit into the memory budget is rejected with a Retry-After.
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
	// An earlier attempt may have run, so the response to a later one isn't "declined".
	w, r = httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader("12345"))
	r.Header.Set("Idempotency-Key", "m")
	r.Header.Set("Attempt", "2")
	d.handler(true).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusGatewayTimeout)
}
