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
	// flagDeflated is the value of Header.Flags for a frame with a deflated body.
	flagDeflated = 1
	// minDeflateSize is the minimum size of frames to deflate, in bytes.
	minDeflateSize = 32 << 10
)

var deflateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Deflate returns a frame with its body deflated, or the frame itself if it is small or
// deflating doesn't make it smaller. The result may only be sent to peers that support it.
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

// inflate returns the inflated body. If that exceeds MaxBodySize, the error is
// ErrFrameTooLarge.
func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, MaxBodySize+1))
	if err == nil && len(raw) > MaxBodySize {
		err = errs.Wrap(ErrFrameTooLarge, "inflate", "")
	}
	return raw, err
}
