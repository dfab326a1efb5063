package process

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// refusingPeer is a peer that refuses for a while, and counts how often it was asked.
type refusingPeer struct {
	refusesUntil time.Time
	dials        int
	connectedAt  time.Time
	peer         net.Conn
}

func (p *refusingPeer) dial(context.Context, ids.Address) (net.Conn, error) {
	p.dials++
	if time.Now().Before(p.refusesUntil) {
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	p.connectedAt, p.peer = time.Now(), theirs
	return ours, nil
}

func anyMessage() Hello { return Hello{Address: "10.0.0.9:1"} }

// After a loss of the whole fleet each daemon refuses the others until it has
// started, and a proxy is ready only once several have found one another.
func TestTransport_ConnectsSoonAfterPeerStarts(t *testing.T) {
	for _, down := range []time.Duration{0, 300 * time.Millisecond, 1700 * time.Millisecond, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			a := &refusingPeer{refusesUntil: time.Now().Add(down)}
			p := &Transport{Address: "10.0.0.1:1", Dial: a.dial, Log: NewLog("error", "d"), ctx: ctx}
			p.Send("10.0.0.2:1", anyMessage())
			<-time.After(down + maxRedialDelay)
			synctest.Wait()
			is.True(a.peer != nil)
			is.True(a.connectedAt.Sub(a.refusesUntil) <= maxRedialDelay)
			// What was said first is there, behind the greeting.
			for _, want := range []any{Hello{Address: "10.0.0.1:1", AcceptsDeflated: true}, anyMessage()} {
				_, got, err := wire.Read(a.peer)
				is.NoErr(err)
				is.Equal(got, want)
			}
			stop()
			a.peer.Close()
		})
	}
}

// A member that is gone for good must not be dialled for ever.
func TestTransport_DialsOnlyWithQueuedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		a := &refusingPeer{}
		p := &Transport{Address: "10.0.0.1:1", Dial: a.dial, Log: NewLog("error", "d"), ctx: ctx}
		p.Send("10.0.0.2:1", anyMessage())
		synctest.Wait()
		_, _, err := wire.Read(a.peer)
		is.NoErr(err)
		_, _, err = wire.Read(a.peer)
		is.NoErr(err)
		a.peer.Close()
		<-time.After(time.Hour)
		synctest.Wait()
		is.Equal(a.dials, 1)
		p.Send("10.0.0.2:1", anyMessage())
		synctest.Wait()
		is.Equal(a.dials, 2)
		stop()
		a.peer.Close()
	})
}
