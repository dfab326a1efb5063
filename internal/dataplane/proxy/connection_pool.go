package proxy

import (
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/process"
)

// connectionPool keeps idle connections to targets and opens new ones. It is safe for
// concurrent use. net/http's Transport would not do: it sends a request again by itself
// when a connection turns out to be dead, and then an unrepeatable request runs twice.
type connectionPool struct {
	mu   sync.Mutex
	idle map[ids.InstanceID][]*connection
	// localIP is what connections are opened from; nil for the system's choice.
	localIP net.IP
	// verifyIdentity: a new connection first asks its target for its identity document.
	verifyIdentity bool
	// dialTimeout bounds the opening of a connection.
	dialTimeout time.Duration
	// recentIdleLimit is how long a recently used connection (dispatch.Forward.RecentOnly)
	// may have been idle, as learned from connections that were found dead; as long as
	// there were none it is 0, for maxRecentIdleLimit.
	recentIdleLimit time.Duration
}

const (
	// maxIdlePerTarget bounds the idle connections kept for one target.
	maxIdlePerTarget = 32
	// defaultMaxIdle is how long a connection may be idle if its target doesn't say.
	defaultMaxIdle = 5 * time.Second
	// defaultDialTimeout bounds the opening of a connection if the options don't say.
	defaultDialTimeout = time.Second
	// maxRecentIdleLimit is the recentIdleLimit at first, and the most it returns to.
	// Where a request lost on a dead connection can't be sent again, only connections
	// idle for less than that limit are used.
	maxRecentIdleLimit = 1500 * time.Millisecond
	// minRecentIdleLimit is how short that limit may become by learning.
	minRecentIdleLimit = 20 * time.Millisecond
	// keepAliveMargin is how much sooner than its target this side gives a connection
	// up, so that no request crosses the target's closing of it.
	keepAliveMargin = 1500 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged by the target's
	// machine before the connection counts as dead.
	tcpUserTimeout = 1200 * time.Millisecond
)

// take returns an idle connection to this run of a target, or nil. With recentOnly the
// connection was in use until shortly before.
func (p *connectionPool) take(t targets.Target, recentOnly bool) *connection {
	for {
		c := p.takeAny(t.Instance, recentOnly)
		if c == nil || c.target == targetRunOf(t) {
			return c
		}
		c.discard()
	}
}

// takeAny returns an idle connection to any run of a target that is usable, or nil.
// Those that it finds unusable it closes.
func (p *connectionPool) takeAny(id ids.InstanceID, recentOnly bool) *connection {
	for {
		c := p.pop(id)
		if c == nil {
			return nil
		}
		idleFor := process.Now().Sub(c.idleSince)
		tooOld := idleFor >= c.maxIdle || recentOnly && idleFor > p.currentRecentIdleLimit()
		if !tooOld && c.isOpen() {
			c.idleBeforeUse, c.responsive = idleFor, false
			return c
		}
		c.discard()
	}
}

// pop removes the connection that was in use last, or returns nil.
func (p *connectionPool) pop(id ids.InstanceID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	p.idle[id] = list[:len(list)-1]
	return list[len(list)-1]
}

// currentRecentIdleLimit is the recentIdleLimit in force.
func (p *connectionPool) currentRecentIdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.recentIdleLimit, maxRecentIdleLimit)
}

// lowerRecentIdleLimit learns from a pooled connection that was dead when it was used.
// Targets may forget connections sooner than they say, and a request lost that way can't
// be sent again, so half its idle time is the new limit.
func (p *connectionPool) lowerRecentIdleLimit(c *connection) {
	if c.idleBeforeUse == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentIdleLimit = max(min(c.idleBeforeUse/2, cmp.Or(p.recentIdleLimit, maxRecentIdleLimit)), minRecentIdleLimit)
}

// raiseRecentIdleLimit raises the learned limit by a quarter. It is called at each usage report.
func (p *connectionPool) raiseRecentIdleLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recentIdleLimit > 0 {
		p.recentIdleLimit = min(p.recentIdleLimit*5/4, maxRecentIdleLimit)
	}
}

// put keeps a connection for later requests, unless there are enough. keepAlive is how
// long the target says that it may be idle; 0 if it doesn't say.
func (p *connectionPool) put(id ids.InstanceID, c *connection, keepAlive time.Duration) {
	c.idleSince, c.maxIdle = process.Now(), defaultMaxIdle
	if keepAlive > 0 {
		c.maxIdle = max(keepAlive-keepAliveMargin, 0)
	}
	// A closed connection refuses this; isOpen finds that out before it is used.
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerTarget {
		c.discard()
		return
	}
	if p.idle == nil {
		p.idle = map[ids.InstanceID][]*connection{}
	}
	p.idle[id] = append(p.idle[id], c)
}

// closeExpired closes connections that have been idle for too long.
func (p *connectionPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		var kept []*connection
		for _, c := range list {
			if process.Now().Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				c.discard()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}

// dial opens a connection to a target. With verifyIdentity the target proves who it is on
// the very connection that requests will use, so a later owner of the address never gets
// one.
func (p *connectionPool) dial(ctx context.Context, t targets.Target, deadline time.Time) (*connection, error) {
	dialer := net.Dialer{Timeout: p.dialTimeout, Deadline: deadline, Control: setUserTimeout}
	if p.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(t.Address))
	if err != nil {
		return nil, errs.Wrap(err, "dial target", string(t.Address))
	}
	c := newConnection(conn, t)
	if !p.verifyIdentity {
		return c, nil
	}
	c.closeOnEnd(ctx)
	err = c.verifyIdentity(t, deadline)
	if !c.release() {
		err = errs.Wrap(ctx.Err(), "verify identity", string(t.Address))
	}
	if err != nil {
		c.discard()
		return nil, err
	}
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket. Without it, which no supported
// system refuses, only the deadline of each request would end a dead connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, process.TCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
	})
}
