package process

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// unpoweredPeer is a peer on a machine without power until downUntil. A dial that starts
// before then gets no response.
type unpoweredPeer struct {
	downUntil   time.Time
	connectedAt time.Time
	conn        net.Conn
}

func (p *unpoweredPeer) dial(ctx context.Context, _ ids.Address) (net.Conn, error) {
	if time.Now().Before(p.downUntil) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Second):
			return nil, context.DeadlineExceeded
		}
	}
	local, remote := net.Pipe()
	p.connectedAt, p.conn = time.Now(), remote
	return local, nil
}

// A dial that hangs while a peer's machine has no power must not delay the connection after
// the power returns.
func TestTransport_ReconnectsSoonAfterPowerReturns(t *testing.T) {
	for _, downtime := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 290 * time.Millisecond} {
		t.Run(downtime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				peer := &unpoweredPeer{downUntil: time.Now().Add(downtime)}
				transport := &Transport{Address: "10.0.0.1:1", Dial: peer.dial, Log: NewLog("error", "d"), ctx: ctx}
				transport.Send("10.0.0.2:1", anyMessage())
				<-time.After(2 * time.Second)
				synctest.Wait()
				is.True(peer.conn != nil)
				is.True(peer.connectedAt.Sub(peer.downUntil) <= initialDialTimeout+maxRedialDelay)
				stop()
				is.NoErr(peer.conn.Close())
			})
		})
	}
}
