package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// The delay is that of the last probe, or the age of the probe in flight once that is larger.
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
	p.returned(at(9 * time.Second)) // no probe was in flight
	is.Equal(p.delay(at(9*time.Second)), 4*time.Second)
}

// A proxy keeps serving with an old configuration unless its message processing is delayed.
func TestDaemon_MayHaveUnreadConfiguration(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		name       string
		age, delay time.Duration
		want       bool
	}{
		{"confirmed", time.Second, time.Millisecond, false},
		{"confirmed, with delayed messages", time.Second, time.Second, false},
		{"partitioned", time.Minute, time.Millisecond, false},
		{"unconfirmed, with delayed messages", bound + time.Millisecond, maxMessageDelay + time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDaemon()
			d.delayProbe.lastDelay.Store(int64(c.delay))
			is.New(t).Equal(d.MayHaveUnreadConfiguration(c.age, bound), c.want)
		})
	}
}

// Probes are sent one at a time until the context is canceled.
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
