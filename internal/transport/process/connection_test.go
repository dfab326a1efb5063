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

// slowReader reads at most 8 KiB at a time, each after a pause.
type slowReader struct {
	net.Conn
	pause time.Duration
}

func (s slowReader) Read(b []byte) (int, error) {
	<-time.After(s.pause)
	return s.Conn.Read(b[:min(len(b), 8<<10)])
}

// A large frame must arrive over a slow connection. A stalled connection must be closed.
func TestTransport_LargeFramesOverSlowAndStalledLinks(t *testing.T) {
	for name, c := range map[string]struct {
		pause   time.Duration
		arrives bool
	}{
		"slow":    {50 * time.Millisecond, true},
		"stalled": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				local, remote := net.Pipe()
				transport := &Transport{Address: "10.0.0.1:1", Log: NewLog("fatal", "d"), ctx: ctx}
				transport.Dial = func(context.Context, ids.Address) (net.Conn, error) { return local, nil }
				body := make([]byte, 1<<20)
				transport.Send("10.0.0.2:1", largeMessage{Body: body})
				_, _, err := wire.Read(remote) // Hello
				is.NoErr(err)
				start := time.Now()
				_, got, err := wire.Read(slowReader{remote, c.pause})
				if c.arrives {
					is.NoErr(err)
					is.Equal(len(got.(largeMessage).Body), len(body))
					is.True(time.Since(start) > 2*writeTimeout)
				} else {
					is.True(err != nil)
				}
				stop()
				is.NoErr(remote.Close())
				_, _ = io.Copy(io.Discard, remote)
			})
		})
	}
}
