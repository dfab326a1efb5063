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

// refusingPeer is a peer that refuses connections for a while, and counts the dials.
type refusingPeer struct {
	refusesUntil time.Time
	dials        int
	connectedAt  time.Time
	conn         net.Conn
}

func (p *refusingPeer) dial(context.Context, ids.Address) (net.Conn, error) {
	p.dials++
	if time.Now().Before(p.refusesUntil) {
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	p.connectedAt, p.conn = time.Now(), theirs
	return ours, nil
}

// anyMessage gives a message whose content doesn't matter.
func anyMessage() Hello { return Hello{Address: "10.0.0.9:1"} }

// After a loss of the whole fleet each daemon refuses the others until it has
// started, and a proxy is ready only once several have found one another.
func TestTransport_ConnectsSoonAfterPeerStarts(t *testing.T) {
	for _, down := range []time.Duration{0, 300 * time.Millisecond, 1700 * time.Millisecond, 30 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				peer := &refusingPeer{refusesUntil: time.Now().Add(down)}
				transport := &Transport{Address: "10.0.0.1:1", Dial: peer.dial, Log: NewLog("error", "d"), ctx: ctx}
				transport.Send("10.0.0.2:1", anyMessage())
				<-time.After(down + maxRedialDelay)
				synctest.Wait()
				is.True(peer.conn != nil)
				is.True(peer.connectedAt.Sub(peer.refusesUntil) <= maxRedialDelay)
				// The message that was queued first arrives, after Hello.
				for _, want := range []any{Hello{Address: "10.0.0.1:1", AcceptsDeflated: true}, anyMessage()} {
					_, got, err := wire.Read(peer.conn)
					is.NoErr(err)
					is.Equal(got, want)
				}
				stop()
				is.NoErr(peer.conn.Close())
			})
		})
	}
}

// A peer that is gone for good is dialled only while there is a message for it.
func TestTransport_DialsOnlyWithQueuedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		peer := &refusingPeer{}
		transport := &Transport{Address: "10.0.0.1:1", Dial: peer.dial, Log: NewLog("error", "d"), ctx: ctx}
		transport.Send("10.0.0.2:1", anyMessage())
		synctest.Wait()
		_, _, err := wire.Read(peer.conn)
		is.NoErr(err)
		_, _, err = wire.Read(peer.conn)
		is.NoErr(err)
		is.NoErr(peer.conn.Close())
		<-time.After(time.Hour)
		synctest.Wait()
		is.Equal(peer.dials, 1)
		transport.Send("10.0.0.2:1", anyMessage())
		synctest.Wait()
		is.Equal(peer.dials, 2)
		stop()
		is.NoErr(peer.conn.Close())
	})
}
