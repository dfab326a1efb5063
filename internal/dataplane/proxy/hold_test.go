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

// arriving is a body of which a part has come, and the rest is awaited.
type arriving struct {
	part io.Reader
	came chan struct{}
	rest chan struct{}
	once sync.Once
}

func (a *arriving) Read(p []byte) (int, error) {
	if n, err := a.part.Read(p); err == nil {
		return n, nil
	}
	a.once.Do(func() { close(a.came) })
	<-a.rest
	return 0, io.EOF
}

func request(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest("POST", "/x", body)
	r.ContentLength = length
	return r
}

// All bodies together are bounded, whole or not yet, with a length or in chunks;
// what doesn't fit is told so at once, and what ends makes room.
func TestBodiesAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	d := newCarrier()
	d.hold.most = 100 << 10
	take := func(n int, length int64) (*Held, error) {
		b, h, err := d.Body(httptest.NewRecorder(), request(strings.NewReader(strings.Repeat("x", n)), length), 1<<20, time.Time{})
		if err == nil {
			is.Equal(len(b), n)
		}
		return h, err
	}
	first, err := take(60<<10, 60<<10)
	is.NoErr(err)
	_, err = take(60<<10, 60<<10)
	is.True(errors.Is(err, ErrFull))
	second, err := take(30<<10, 30<<10)
	is.NoErr(err)
	_, err = take(30<<10, -1) // in chunks
	is.True(errors.Is(err, ErrFull))
	is.Equal(d.hold.used.Load(), int64(90<<10)) // what was declined holds nothing
	first.Free()
	first.Free()
	third, err := take(30<<10, -1)
	is.NoErr(err)
	is.True(d.hold.used.Load() <= d.hold.most)
	second.Free()
	third.Free()
	is.Equal(d.hold.used.Load(), int64(0))
	// One that is over the limit, or ends early, holds nothing.
	_, _, err = d.Body(httptest.NewRecorder(), request(strings.NewReader("12345"), 5), 4, time.Time{})
	var big *http.MaxBytesError
	is.True(errors.As(err, &big))
	_, _, err = d.Body(httptest.NewRecorder(), request(strings.NewReader("12345"), -1), 4, time.Time{})
	is.True(errors.As(err, &big))
	_, _, err = d.Body(httptest.NewRecorder(), request(strings.NewReader("123"), 5), 10, time.Time{})
	is.True(err != nil && !errors.As(err, &big))
	is.Equal(d.hold.used.Load(), int64(0))
}

// A body that comes slowly counts while it comes.
func TestASlowBodyCounts(t *testing.T) {
	is := is.New(t)
	d := newCarrier()
	d.hold.most = 128 << 10
	for _, length := range []int64{40 << 10, -1} {
		a := &arriving{part: strings.NewReader(strings.Repeat("x", 40<<10)), came: make(chan struct{}), rest: make(chan struct{})}
		done := make(chan error)
		go func() {
			_, h, err := d.Body(httptest.NewRecorder(), request(a, length), 1<<20, time.Time{})
			h.Free()
			done <- err
		}()
		select {
		case <-a.came:
		case <-done: // with its length known it is whole already
		}
		if length < 0 {
			_, _, err := d.Body(httptest.NewRecorder(), request(strings.NewReader(strings.Repeat("y", 70<<10)), 70<<10), 1<<20, time.Time{})
			is.True(errors.Is(err, ErrFull))
			close(a.rest)
			is.NoErr(<-done)
		}
	}
	is.Equal(d.hold.used.Load(), int64(0))
}

// Answers count as well, though none is refused: it has been run for.
func TestAnswersCount(t *testing.T) {
	is := is.New(t)
	s, d := newStand(t), plainCarrier(0)
	d.Params.MaxResponse, d.hold.most = 50<<10, 40<<10
	s.answer = func(r *http.Request) string { return named(r, r.Header.Get("Id"), strings.Repeat("z", 50<<10)) }
	h := &Held{hold: &d.hold}
	is.Equal(d.putHeld(s, "a", h).How, dispatch.Sealed)
	is.Equal(d.hold.used.Load(), int64(50<<10))
	_, _, err := d.Body(httptest.NewRecorder(), request(strings.NewReader("x"), 1), 10, time.Time{})
	is.True(errors.Is(err, ErrFull))
	_, empty, err := d.Body(httptest.NewRecorder(), request(http.NoBody, 0), 10, time.Time{})
	is.NoErr(err) // what has no body needs no room
	empty.Free()
	h.Free()
	is.Equal(d.hold.used.Load(), int64(0))
}

// At the proxy's own front: declined at once, with when to come back.
func TestAFullProxyDeclines(t *testing.T) {
	is := is.New(t)
	d := newCarrier()
	d.inStepWith("orders")
	d.hold.most = 4
	w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader("12345"))
	r.Header.Set("Idempotency-Key", "m")
	r.Header.Set("Attempt", "1")
	d.pages(true).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Header().Get("Dunlinwell-Class"), "declined")
	// A later attempt may have run before, and isn't told that it surely hasn't.
	w, r = httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader("12345"))
	r.Header.Set("Idempotency-Key", "m")
	r.Header.Set("Attempt", "2")
	d.pages(true).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusGatewayTimeout)
}
