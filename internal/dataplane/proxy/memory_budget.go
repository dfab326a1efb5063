package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrMemoryBudgetExceeded is returned if a body doesn't fit into the memory budget. The client
// may retry; it receives the text of the error.
var ErrMemoryBudgetExceeded = errors.New("too many bytes are held; come back")

// defaultMemoryLimit is the default of DaemonOptions.MemoryLimit, in bytes.
const defaultMemoryLimit = 256 << 20

// memoryBudget limits the memory for the request and response bodies of all requests. Bodies
// are buffered completely, so slow peers could otherwise exhaust the memory.
type memoryBudget struct {
	// limit is in bytes. It applies to request bodies; response bodies may exceed it.
	limit    int64
	reserved atomic.Int64
}

// MemoryReservation is the part of the memory budget reserved for one request. It is not safe
// for concurrent use. The methods of a nil reservation do nothing.
type MemoryReservation struct {
	budget *memoryBudget
	bytes  int64
}

// tryReserve reserves more bytes. It returns false, and reserves nothing, if the budget would be
// exceeded.
func (m *MemoryReservation) tryReserve(bytes int64) bool {
	if m.budget.reserved.Add(bytes) > m.budget.limit {
		m.budget.reserved.Add(-bytes)
		return false
	}
	m.bytes += bytes
	return true
}

// reserve reserves more bytes even if the budget is exceeded, for responses, whose requests have
// already run. A negative number releases bytes.
func (m *MemoryReservation) reserve(bytes int64) {
	if m != nil {
		m.budget.reserved.Add(bytes)
		m.bytes += bytes
	}
}

// Release releases all reserved bytes. It may be called more than once.
func (m *MemoryReservation) Release() {
	if m != nil {
		m.budget.reserved.Add(-m.bytes)
		m.bytes = 0
	}
}

// initialBodyBuffer is the initial buffer size, in bytes, for a body of unknown length.
const initialBodyBuffer = 4 << 10

// ReadBody reads a request's body of at most limit bytes and returns it with the memory reserved
// for it. The client must have sent the body by the deadline, unless that is zero. On failure
// nothing is reserved, and the error is *http.MaxBytesError, ErrMemoryBudgetExceeded,
// os.ErrDeadlineExceeded, or another read error.
func (d *Daemon) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *MemoryReservation, error) {
	reservation := &MemoryReservation{budget: &d.memory}
	if r.ContentLength > limit {
		return nil, reservation, &http.MaxBytesError{Limit: limit}
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, reservation, nil
	}
	// Response writers without deadlines, such as those of tests, return an error.
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

// readBody reads a body of the given length, or until EOF if the length is -1.
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

// growBody copies a body to a buffer of twice the capacity. Both buffers are reserved during the
// copy.
func (m *MemoryReservation) growBody(content []byte) ([]byte, error) {
	capacity := int64(cap(content))
	if !m.tryReserve(2 * capacity) {
		return nil, ErrMemoryBudgetExceeded
	}
	content = append(make([]byte, 0, 2*capacity), content...)
	m.reserve(-capacity)
	return content, nil
}

// countingReader reserves memory for the bytes read through it.
type countingReader struct {
	io.Reader
	reservation *MemoryReservation
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.reservation.reserve(int64(n))
	return n, err
}
