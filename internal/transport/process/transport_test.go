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

// refusingPeer is a peer that refuses connections until refusesUntil. It counts the dials.
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
	local, remote := net.Pipe()
	p.connectedAt, p.conn = time.Now(), remote
	return local, nil
}

// anyMessage returns a message for tests in which the content doesn't matter.
func anyMessage() Hello { return Hello{Address: "10.0.0.9:1"} }

// A transport must connect within maxRedialDelay after a peer has started. Otherwise, daemons
// that start at the same time would become ready late.
func TestTransport_ConnectsSoonAfterPeerStarts(t *testing.T) {
	for _, downtime := range []time.Duration{0, 300 * time.Millisecond, 1700 * time.Millisecond, 30 * time.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				peer := &refusingPeer{refusesUntil: time.Now().Add(downtime)}
				transport := &Transport{Address: "10.0.0.1:1", Dial: peer.dial, Log: NewLog("error", "d"), ctx: ctx}
				transport.Send("10.0.0.2:1", anyMessage())
				<-time.After(downtime + maxRedialDelay)
				synctest.Wait()
				is.True(peer.conn != nil)
				is.True(peer.connectedAt.Sub(peer.refusesUntil) <= maxRedialDelay)
				// The message that was queued while the peer was down arrives after Hello.
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

// A peer that has left must not be dialled again unless there is a message for it.
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
