package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/dataplane/dispatch"
)

func TestConnectionPool_RecentlyUsedOnly(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	target.respond = echoResponse
	// The cases depend on each other: each starts with the pooled connection of the previous one.
	for i, c := range []struct {
		idle             time.Duration
		recentlyUsedOnly bool
		connections      int64
	}{
		{0, true, 1},
		{maxRecentIdleLimit - 200*time.Millisecond, true, 1},
		{maxRecentIdleLimit + time.Millisecond, false, 1}, // retryable requests may use it
		{maxRecentIdleLimit + time.Millisecond, true, 2},
		{defaultMaxIdle + time.Millisecond, false, 3},
	} {
		if i > 0 {
			d.ageIdleConnection(t, c.idle)
		}
		id := fmt.Sprint("r", i)
		forward := d.forwardPlain
		if c.recentlyUsedOnly {
			forward = d.forwardRecentlyUsedOnly
		}
		is.Equal(string(forward(target, id).Response.Body), "of "+id)
		is.Equal(target.connections.Load(), c.connections)
	}
	d.ageIdleConnection(t, defaultMaxIdle+time.Millisecond)
	d.pool.closeExpired()
	is.Equal(len(d.pool.idle), 0)
}

// The pool observes the keep-alive timeout stated by a target, less keepAliveMargin.
func TestConnectionPool_ObservesTargetKeepAlive(t *testing.T) {
	for idle, connections := range map[time.Duration]int64{9 * time.Second: 1, time.Second: 2} {
		t.Run(idle.String(), func(t *testing.T) {
			is := is.New(t)
			target, d := newFakeTarget(t), newPlainDaemon(idle)
			target.respond = echoResponse
			is.Equal(d.forwardPlain(target, "a").Result, dispatch.Complete)
			is.Equal(d.forwardPlain(target, "b").Result, dispatch.Complete)
			is.Equal(target.connections.Load(), connections)
		})
	}
	t.Run("margin", func(t *testing.T) {
		is := is.New(t)
		target, d := newFakeTarget(t), newPlainDaemon(9*time.Second)
		target.respond = echoResponse
		d.forwardPlain(target, "a")
		d.ageIdleConnection(t, 9*time.Second-keepAliveMargin+time.Millisecond)
		d.forwardPlain(target, "b")
		is.Equal(target.connections.Load(), int64(2))
		d.ageIdleConnection(t, 7*time.Second) // longer than defaultMaxIdle
		d.forwardPlain(target, "c")
		is.Equal(target.connections.Load(), int64(2))
	})
}
