package process

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// largeMessage is a frame that a slow link carries for much longer than writeWithin.
type largeMessage struct{ Body []byte }

var _ = wire.Register(65000, largeMessage{})

// slowReader takes a few bytes at a time, with a pause after each.
type slowReader struct {
	net.Conn
	pause time.Duration
}

func (s slowReader) Read(b []byte) (int, error) {
	<-time.After(s.pause)
	return s.Conn.Read(b[:min(len(b), 8<<10)])
}

// A frame that is carried slowly, but steadily, arrives; one that a peer takes
// nothing of ends the connection.
func TestTransport_SlowLinkCarriesLargeFrames(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			ours, theirs := net.Pipe()
			p := &Transport{Address: "10.0.0.1:1", Log: NewLog("fatal", "d"), ctx: ctx}
			p.Dial = func(context.Context, ids.Address) (net.Conn, error) { return ours, nil }
			body := make([]byte, 1<<20)
			p.Send("10.0.0.2:1", largeMessage{Body: body})
			_, _, err := wire.Read(theirs)
			is.NoErr(err)
			began := time.Now()
			_, got, err := wire.Read(slowReader{theirs, pause})
			if pause == time.Hour {
				is.True(err != nil)
			} else {
				is.NoErr(err)
				is.Equal(len(got.(largeMessage).Body), len(body))
				is.True(time.Since(began) > 2*writeTimeout)
			}
			stop()
			theirs.Close()
			_, _ = io.Copy(io.Discard, theirs)
		})
	}
}
