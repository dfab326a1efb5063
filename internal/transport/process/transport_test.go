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

// away is a peer that refuses for a while, and counts how often it was asked.
type away struct {
	until time.Time
	dials int
	met   time.Time
	peer  net.Conn
}

func (a *away) dial(context.Context, ids.Address) (net.Conn, error) {
	a.dials++
	if time.Now().Before(a.until) {
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	a.met, a.peer = time.Now(), theirs
	return ours, nil
}

func word() Hello { return Hello{Address: "10.0.0.9:1"} }

// After a loss of the whole fleet each daemon refuses the others until it has
// started, and a proxy is ready only once several have found one another.
func TestAPeerThatStartsIsFoundSoon(t *testing.T) {
	for _, down := range []time.Duration{0, 300 * time.Millisecond, 1700 * time.Millisecond, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			a := &away{until: time.Now().Add(down)}
			p := &Transport{Address: "10.0.0.1:1", Dial: a.dial, Log: NewLog("error", "d"), ctx: ctx}
			p.Send("10.0.0.2:1", word())
			<-time.After(down + mostRest)
			synctest.Wait()
			is.True(a.peer != nil)
			is.True(a.met.Sub(a.until) <= mostRest)
			// What was said first is there, behind the greeting.
			for _, want := range []any{Hello{Address: "10.0.0.1:1", Inflates: true}, word()} {
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
func TestAPeerIsNotDialledForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		a := &away{}
		p := &Transport{Address: "10.0.0.1:1", Dial: a.dial, Log: NewLog("error", "d"), ctx: ctx}
		p.Send("10.0.0.2:1", word())
		synctest.Wait()
		_, _, err := wire.Read(a.peer)
		is.NoErr(err)
		_, _, err = wire.Read(a.peer)
		is.NoErr(err)
		a.peer.Close()
		<-time.After(time.Hour)
		synctest.Wait()
		is.Equal(a.dials, 1)
		p.Send("10.0.0.2:1", word())
		synctest.Wait()
		is.Equal(a.dials, 2)
		stop()
		a.peer.Close()
	})
}
