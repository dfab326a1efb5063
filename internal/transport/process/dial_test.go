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

// unpoweredPeer is a machine without power: a dial gets no answer, also one that
// began before the power came back.
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
	ours, theirs := net.Pipe()
	p.connectedAt, p.conn = time.Now(), theirs
	return ours, nil
}

// All machines lost power and came back within tenths of a second of each other; one
// dial that hung for a second then held up the first agreement for as long.
func TestTransport_ReconnectsSoonAfterPowerReturns(t *testing.T) {
	for _, down := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 290 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				peer := &unpoweredPeer{downUntil: time.Now().Add(down)}
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
