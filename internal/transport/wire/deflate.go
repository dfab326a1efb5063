package wire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"dunlinwell/internal/base/errs"
)

const (
	// deflated, in Header.Spare, marks a frame whose body is deflated.
	deflated = 1
	// deflateFrom is the least frame that is worth the processor time.
	deflateFrom = 32 << 10
	spareAt     = 3
	lengthAt    = 6
)

var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Deflate gives a large frame with its body deflated, and any other as it is.
// Only a reader that is known to inflate may be sent one.
func Deflate(frame []byte) []byte {
	if len(frame) < deflateFrom {
		return frame
	}
	var out bytes.Buffer
	out.Write(frame[:headSize])
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(frame[headSize:]); err != nil || w.Close() != nil || out.Len() >= len(frame) {
		return frame
	}
	raw := out.Bytes()
	raw[spareAt] = deflated
	binary.BigEndian.PutUint32(raw[lengthAt:], uint32(len(raw)-headSize))
	return raw
}

// inflate reads a deflated body, bounded like any other.
func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err == nil && len(raw) > MaxBody {
		err = errs.New("inflate", "", "body is over the limit")
	}
	return raw, err
}
