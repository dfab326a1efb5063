package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// TestDelayProbe_MeasuresWait: what a probe took is the delay until the next one is back, and
// the age of the one under way counts as soon as it is longer.
func TestDelayProbe_MeasuresWait(t *testing.T) {
	is := is.New(t)
	var p delayProbe
	at := func(d time.Duration) ids.Time { return ids.Time(time.Second + d) }
	is.Equal(p.delay(at(0)), time.Duration(0))
	p.sentAt.Store(int64(at(0)))
	is.Equal(p.delay(at(20*time.Millisecond)), 20*time.Millisecond)
	p.returned(at(40 * time.Millisecond))
	is.Equal(p.delay(at(time.Second)), 40*time.Millisecond)
	p.sentAt.Store(int64(at(time.Second)))
	is.Equal(p.delay(at(time.Second+10*time.Millisecond)), 40*time.Millisecond)
	is.Equal(p.delay(at(4*time.Second)), 3*time.Second)
	p.returned(at(5 * time.Second))
	is.Equal(p.delay(at(6*time.Second)), 4*time.Second)
	p.returned(at(9 * time.Second)) // there was none under way
	is.Equal(p.delay(at(9*time.Second)), 4*time.Second)
}

// TestDaemon_MayHaveUnreadConfiguration: by an old configuration a proxy goes on as long as it
// reads what arrives, but not while it is behind.
func TestDaemon_MayHaveUnreadConfiguration(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		name       string
		age, delay time.Duration
		want       bool
	}{
		{"in touch", time.Second, time.Millisecond, false},
		{"in touch, and behind", time.Second, time.Second, false},
		{"cut off", time.Minute, time.Millisecond, false},
		{"behind", bound + time.Millisecond, maxMessageDelay + time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDaemon()
			d.delayProbe.lastDelay.Store(int64(c.delay))
			is.New(t).Equal(d.MayHaveUnreadConfiguration(c.age, bound), c.want)
		})
	}
}

// TestDelayProbe_Runs sends probes through its pipe until its context ends, one at a time.
func TestDelayProbe_Runs(t *testing.T) {
	is := is.New(t)
	var p delayProbe
	ctx, stop := context.WithCancel(context.Background())
	arrived, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- p.run(ctx, func() { arrived <- struct{}{} }) }()
	for range 2 {
		<-arrived
		is.True(p.sentAt.Load() != 0)
		p.returned(ids.Time(p.sentAt.Load()) + ids.Time(time.Second))
		is.Equal(p.delay(1), time.Second)
	}
	stop()
	is.Equal(<-ended, context.Canceled)
}
