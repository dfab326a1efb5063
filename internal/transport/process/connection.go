package process

import (
	"bufio"
	"net"
	"time"
)

// writeChunkSize is how much of a frame must leave within writeWithin. A deadline
// for the whole frame would cut off each large one on a slow link, every time
// that it is sent again.
const writeChunkSize = 32 << 10

// writeFrame writes a frame piece by piece. A peer that takes nothing for
// writeWithin is lost; one that is only slow is not.
func writeFrame(c net.Conn, w *bufio.Writer, frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), writeChunkSize)
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}
