package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrFull: bodies and answers that are kept leave no room for another body.
var ErrFull = errors.New("too many bytes are held; come back")

// defaultHeld is how many bytes of bodies and answers are kept at once.
const defaultHeld = 256 << 20

// hold counts the bytes kept on behalf of slow peers, over all requests. Bodies
// are read whole, so without it each slow one would cost its own size.
type hold struct {
	most int64
	used atomic.Int64
}

// Held is what one request holds.
type Held struct {
	hold *hold
	n    int64
}

// more takes room, or none if there isn't as much.
func (h *Held) more(n int64) bool {
	if h.hold.used.Add(n) > h.hold.most {
		h.hold.used.Add(-n)
		return false
	}
	h.n += n
	return true
}

// must takes room whether or not there is any: an answer has been run for.
func (h *Held) must(n int64) {
	if h != nil {
		h.hold.used.Add(n)
		h.n += n
	}
}

// Free gives all of it back.
func (h *Held) Free() {
	if h != nil {
		h.hold.used.Add(-h.n)
		h.n = 0
	}
}

// firstRoom is what a body of unknown length begins with.
const firstRoom = 4 << 10

// Body reads a request's body, whole and within a limit, and what it then holds.
// A time, if there is one, bounds how long the consumer may take to send it.
func (d *Daemon) Body(w http.ResponseWriter, r *http.Request, most int64, until time.Time) ([]byte, *Held, error) {
	h := &Held{hold: &d.hold}
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
	body, err := h.read(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	if err != nil {
		h.Free()
		return nil, h, err
	}
	_ = c.SetReadDeadline(time.Time{})
	return body, h, nil
}

func (h *Held) read(in io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		if !h.more(length) {
			return nil, ErrFull
		}
		body := make([]byte, length)
		_, err := io.ReadFull(in, body)
		return body, err
	}
	if !h.more(firstRoom) {
		return nil, ErrFull
	}
	body := make([]byte, 0, firstRoom)
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
		if !h.more(2 * old) {
			return nil, ErrFull
		}
		body = append(make([]byte, 0, 2*old), body...)
		h.must(-old)
	}
}

// counted counts an answer's bytes as they come.
type counted struct {
	io.Reader
	held *Held
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.held.must(int64(n))
	return n, err
}
