package proxy

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/process"
)

// connectionPool keeps idle connections to targets and opens new ones. It is safe for
// concurrent use. It is used instead of http.Transport because the latter may resend a
// request on its own when a connection turns out to be dead, and a request that isn't
// repeatable must not be executed twice.
type connectionPool struct {
	mu   sync.Mutex
	idle map[ids.InstanceID][]*connection
	// localIP is the source address of connections; nil lets the system choose.
	localIP net.IP
	// verifyIdentity makes each new connection fetch the target's identity document first.
	verifyIdentity bool
	// dialTimeout is the timeout for opening a connection.
	dialTimeout time.Duration
	// recentIdleLimit is the longest idle time of a connection that counts as recently used
	// (dispatch.Forward.RecentlyUsedOnly). It is adapted when pooled connections turn out to be
	// dead; 0 until then, which stands for maxRecentIdleLimit.
	recentIdleLimit time.Duration
}

const (
	// maxIdlePerTarget is the maximum number of idle connections kept per target.
	maxIdlePerTarget = 32
	// defaultMaxIdle is the maximum idle time of a connection whose target states none.
	defaultMaxIdle = 5 * time.Second
	// defaultDialTimeout is the default of DaemonOptions.DialTimeout.
	defaultDialTimeout = time.Second
	// maxRecentIdleLimit is the initial and maximum recentIdleLimit. A request that can't be
	// retried if it is lost on a dead connection uses only connections idle for at most that
	// limit.
	maxRecentIdleLimit = 1500 * time.Millisecond
	// minRecentIdleLimit is the minimum of the adapted recentIdleLimit.
	minRecentIdleLimit = 20 * time.Millisecond
	// keepAliveMargin is subtracted from the target's keep-alive timeout, so that no request
	// is sent while the target closes the connection.
	keepAliveMargin = 1500 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged by the target's host
	// before the connection is considered dead.
	tcpUserTimeout = 1200 * time.Millisecond
)

// take returns an idle connection to this run of a target that isn't one of the excluded ones, or
// nil. With recentlyUsedOnly it returns only connections idle for at most recentIdleLimit.
func (p *connectionPool) take(t targets.Target, recentlyUsedOnly bool, excluded []*connection) *connection {
	for {
		c := p.takeAny(t.Instance, recentlyUsedOnly, excluded)
		if c == nil || c.target == targetRunOf(t) {
			return c
		}
		c.discard()
	}
}

// takeAny returns a usable idle connection to any run of a target that isn't one of the excluded
// ones, or nil. It closes the unusable connections that it finds.
func (p *connectionPool) takeAny(id ids.InstanceID, recentlyUsedOnly bool, excluded []*connection) *connection {
	for {
		c := p.pop(id, excluded)
		if c == nil {
			return nil
		}
		idleFor := process.Now().Sub(c.idleSince)
		tooOld := idleFor >= c.maxIdle || recentlyUsedOnly && idleFor > p.effectiveRecentIdleLimit()
		if !tooOld && c.isOpen() {
			c.idleBeforeUse, c.responsive = idleFor, false
			return c
		}
		c.discard()
	}
}

// pop removes and returns the most recently used connection that isn't one of the excluded ones,
// or returns nil if there is none. Excluded connections stay in the pool.
func (p *connectionPool) pop(id ids.InstanceID, excluded []*connection) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(excluded, c) {
			p.idle[id] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// effectiveRecentIdleLimit returns recentIdleLimit, or its initial value if it is 0.
func (p *connectionPool) effectiveRecentIdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.recentIdleLimit, maxRecentIdleLimit)
}

// lowerRecentIdleLimit lowers the limit to half the idle time of a pooled connection that
// was dead when it was used. Targets may drop connections earlier than they announce, and a
// request lost that way may not be retryable.
func (p *connectionPool) lowerRecentIdleLimit(c *connection) {
	if c.idleBeforeUse == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentIdleLimit = max(min(c.idleBeforeUse/2, cmp.Or(p.recentIdleLimit, maxRecentIdleLimit)), minRecentIdleLimit)
}

// raiseRecentIdleLimit raises a lowered limit by a quarter. It is called at each usage report.
func (p *connectionPool) raiseRecentIdleLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recentIdleLimit > 0 {
		p.recentIdleLimit = min(p.recentIdleLimit*5/4, maxRecentIdleLimit)
	}
}

// put returns a connection to the pool, or closes it if the target already has
// maxIdlePerTarget idle ones. keepAlive is the idle timeout stated by the target; 0 if none.
func (p *connectionPool) put(id ids.InstanceID, c *connection, keepAlive time.Duration) {
	c.idleSince, c.maxIdle = process.Now(), defaultMaxIdle
	if keepAlive > 0 {
		c.maxIdle = max(keepAlive-keepAliveMargin, 0)
	}
	// This fails only on a closed connection, which isOpen detects before the next use.
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

// closeExpired closes connections whose idle time has reached their maximum.
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

// dial opens a connection to a target. With verifyIdentity the target's identity is checked
// on the same connection that requests will use, so that no request is sent to another
// process that has taken over the address.
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
	c.closeOnDone(ctx)
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

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket. Its error is ignored: without the
// option, a dead connection is detected only by the deadline of a request.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, process.TCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
	})
}
