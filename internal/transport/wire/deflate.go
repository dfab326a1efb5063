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
	// flagDeflated, in Header.Flags, marks a frame whose body is deflated.
	flagDeflated = 1
	// minDeflateSize is the smallest frame that is worth the processor time, in bytes.
	minDeflateSize = 32 << 10
)

var deflateWriters = sync.Pool{New: func() any {
	// The only error is a level out of range.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Deflate gives a large frame with its body deflated, and any other frame as it is.
// Only a reader that said that it inflates may be sent the result.
func Deflate(frame []byte) []byte {
	if len(frame) < minDeflateSize {
		return frame
	}
	var buffer bytes.Buffer
	buffer.Write(frame[:headerSize])
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(frame[headerSize:]); err != nil || w.Close() != nil || buffer.Len() >= len(frame) {
		return frame
	}
	deflated := buffer.Bytes()
	deflated[flagsOffset] = flagDeflated
	binary.BigEndian.PutUint32(deflated[lengthOffset:], uint32(len(deflated)-headerSize))
	return deflated
}

// inflate gives the body that was deflated. One over MaxBodySize is ErrFrameTooLarge.
func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, MaxBodySize+1))
	if err == nil && len(raw) > MaxBodySize {
		err = errs.Wrap(ErrFrameTooLarge, "inflate", "")
	}
	return raw, err
}
