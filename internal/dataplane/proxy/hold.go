package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrFull: bodies and answers that are kept leave no room for another body.
var ErrMemoryBudgetExceeded = errors.New("too many bytes are held; come back")

// defaultMemoryLimit is how many bytes of bodies and answers are kept at once.
const defaultMemoryLimit = 256 << 20

// memoryBudget counts the bytes kept on behalf of slow peers, over all requests. Bodies
// are read whole, so without it each slow one would cost its own size.
type memoryBudget struct {
	limit    int64
	reserved atomic.Int64
}

// MemoryReservation is what one request holds.
type MemoryReservation struct {
	budget *memoryBudget
	bytes  int64
}

// tryReserve takes room, or none if there isn't as much.
func (h *MemoryReservation) tryReserve(n int64) bool {
	if h.budget.reserved.Add(n) > h.budget.limit {
		h.budget.reserved.Add(-n)
		return false
	}
	h.bytes += n
	return true
}

// reserve takes room whether or not there is any: an answer has been run for.
func (h *MemoryReservation) reserve(n int64) {
	if h != nil {
		h.budget.reserved.Add(n)
		h.bytes += n
	}
}

// Release gives all of it back.
func (h *MemoryReservation) Release() {
	if h != nil {
		h.budget.reserved.Add(-h.bytes)
		h.bytes = 0
	}
}

// initialBodyBuffer is what a body of unknown length begins with.
const initialBodyBuffer = 4 << 10

// ReadBody reads a request's body, whole and within a limit, and what it then holds.
// A time, if there is one, bounds how long the client may take to send it.
func (d *Daemon) ReadBody(w http.ResponseWriter, r *http.Request, most int64, until time.Time) ([]byte, *MemoryReservation, error) {
	h := &MemoryReservation{budget: &d.memory}
	if r.ContentLength > most {
		return nil, h, &http.MaxBytesError{Limit: most}
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, h, nil
	}
	c := http.NewResponseController(w)
	if !until.IsZero() {
		_ = c.SetReadDeadline(until)
	}
	body, err := h.readBody(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	if err != nil {
		h.Release()
		return nil, h, err
	}
	_ = c.SetReadDeadline(time.Time{})
	return body, h, nil
}

func (h *MemoryReservation) readBody(in io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		if !h.tryReserve(length) {
			return nil, ErrMemoryBudgetExceeded
		}
		body := make([]byte, length)
		_, err := io.ReadFull(in, body)
		return body, err
	}
	if !h.tryReserve(initialBodyBuffer) {
		return nil, ErrMemoryBudgetExceeded
	}
	body := make([]byte, 0, initialBodyBuffer)
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		// Both copies are there for a moment.
		old := int64(cap(body))
		if !h.tryReserve(2 * old) {
			return nil, ErrMemoryBudgetExceeded
		}
		body = append(make([]byte, 0, 2*old), body...)
		h.reserve(-old)
	}
}

// countingReader counts an answer's bytes as they come.
type countingReader struct {
	io.Reader
	reservation *MemoryReservation
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.reservation.reserve(int64(n))
	return n, err
}
