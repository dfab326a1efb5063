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

// unpoweredPeer is a machine without power: whoever dials it hears nothing, and a dial
// that began before its power came back is not heard of later either.
type unpoweredPeer struct {
	downUntil   time.Time
	connectedAt time.Time
	peer        net.Conn
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
	p.connectedAt, p.peer = time.Now(), theirs
	return ours, nil
}

// All machines lost power and come back within tenths of a second of each other.
// One dial that hung for a second held up the first agreement for as long.
func TestTransport_ReconnectsSoonAfterPowerReturns(t *testing.T) {
	for _, down := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 290 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			d := &unpoweredPeer{downUntil: time.Now().Add(down)}
			p := &Transport{Address: "10.0.0.1:1", Dial: d.dial, Log: NewLog("error", "d"), ctx: ctx}
			p.Send("10.0.0.2:1", anyMessage())
			<-time.After(2 * time.Second)
			synctest.Wait()
			is.True(d.peer != nil)
			is.True(d.connectedAt.Sub(d.downUntil) <= initialDialTimeout+maxRedialDelay)
			stop()
			d.peer.Close()
		})
	}
}
