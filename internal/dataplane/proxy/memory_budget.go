package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrMemoryBudgetExceeded is returned when the bodies held for all requests leave no room
// for another one. The client may try again.
var ErrMemoryBudgetExceeded = errors.New("too many bytes are held; come back")

// defaultMemoryLimit is the memory budget, in bytes, if the options name none.
const defaultMemoryLimit = 256 << 20

// memoryBudget counts the bytes of request and response bodies held for all requests.
// Bodies are read whole, so without a bound every slow peer would cost its body's size.
type memoryBudget struct {
	// limit is in bytes; requests are rejected beyond it, responses are not.
	limit    int64
	reserved atomic.Int64
}

// MemoryReservation is what one request has reserved. It is not safe for concurrent use;
// a nil one counts nothing.
type MemoryReservation struct {
	budget *memoryBudget
	bytes  int64
}

// tryReserve reserves more bytes, and returns false without any effect if the budget
// would be exceeded.
func (m *MemoryReservation) tryReserve(bytes int64) bool {
	if m.budget.reserved.Add(bytes) > m.budget.limit {
		m.budget.reserved.Add(-bytes)
		return false
	}
	m.bytes += bytes
	return true
}

// reserve reserves more bytes even beyond the budget: a response's request has run
// already, so rejecting it would gain nothing. Negative bytes give some back.
func (m *MemoryReservation) reserve(bytes int64) {
	if m != nil {
		m.budget.reserved.Add(bytes)
		m.bytes += bytes
	}
}

// Release gives everything back. It may be called again.
func (m *MemoryReservation) Release() {
	if m != nil {
		m.budget.reserved.Add(-m.bytes)
		m.bytes = 0
	}
}

// initialBodyBuffer is the first buffer, in bytes, for a body of unknown length; it is
// doubled as needed.
const initialBodyBuffer = 4 << 10

// ReadBody reads a request's body whole, within limit bytes, and returns the memory that
// is reserved for it. The deadline, unless zero, bounds how long the client may take to
// send it. Errors are *http.MaxBytesError, ErrMemoryBudgetExceeded, os.ErrDeadlineExceeded,
// or those of reading; nothing stays reserved then.
func (d *Daemon) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *MemoryReservation, error) {
	reservation := &MemoryReservation{budget: &d.memory}
	if r.ContentLength > limit {
		return nil, reservation, &http.MaxBytesError{Limit: limit}
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, reservation, nil
	}
	// Writers that support no deadlines, as in tests, read without one.
	controller := http.NewResponseController(w)
	if !deadline.IsZero() {
		_ = controller.SetReadDeadline(deadline)
	}
	body, err := reservation.readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		reservation.Release()
		return nil, reservation, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, reservation, nil
}

// readBody reads a body of a known length, or one of unknown length (-1) to its end.
func (m *MemoryReservation) readBody(body io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		return m.readFixedBody(body, length)
	}
	return m.readGrowingBody(body)
}

func (m *MemoryReservation) readFixedBody(body io.Reader, length int64) ([]byte, error) {
	if !m.tryReserve(length) {
		return nil, ErrMemoryBudgetExceeded
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

func (m *MemoryReservation) readGrowingBody(body io.Reader) ([]byte, error) {
	if !m.tryReserve(initialBodyBuffer) {
		return nil, ErrMemoryBudgetExceeded
	}
	content := make([]byte, 0, initialBodyBuffer)
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		if len(content) < cap(content) {
			continue
		}
		if content, err = m.growBody(content); err != nil {
			return nil, err
		}
	}
}

// growBody copies a body to a buffer of twice the capacity. While it copies, both
// buffers count.
func (m *MemoryReservation) growBody(content []byte) ([]byte, error) {
	capacity := int64(cap(content))
	if !m.tryReserve(2 * capacity) {
		return nil, ErrMemoryBudgetExceeded
	}
	content = append(make([]byte, 0, 2*capacity), content...)
	m.reserve(-capacity)
	return content, nil
}

// countingReader reserves memory for what is read through it.
type countingReader struct {
	io.Reader
	reservation *MemoryReservation
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.reservation.reserve(int64(n))
	return n, err
}
