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
	flagDeflated = 1
	// minDeflateSize is the least frame that is worth the processor time.
	minDeflateSize = 32 << 10
	flagsOffset    = 3
	lengthOffset   = 6
)

var deflateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Deflate gives a large frame with its body deflated, and any other as it is.
// Only a reader that is known to inflate may be sent one.
func Deflate(frame []byte) []byte {
	if len(frame) < minDeflateSize {
		return frame
	}
	var out bytes.Buffer
	out.Write(frame[:headerSize])
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(frame[headerSize:]); err != nil || w.Close() != nil || out.Len() >= len(frame) {
		return frame
	}
	raw := out.Bytes()
	raw[flagsOffset] = flagDeflated
	binary.BigEndian.PutUint32(raw[lengthOffset:], uint32(len(raw)-headerSize))
	return raw
}

// inflate reads a deflated body, bounded like any other.
func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, MaxBodySize+1))
	if err == nil && len(raw) > MaxBodySize {
		err = errs.New("inflate", "", "body is over the limit")
	}
	return raw, err
}
