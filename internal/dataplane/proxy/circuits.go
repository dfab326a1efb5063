package proxy

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/process"
)

// IdentityPath is the page on which a target says who it is.
const IdentityPath = "/.well-known/dunlinwell"

// IdentityDocument is what that page says.
type IdentityDocument struct {
	Instance ids.InstanceID `json:"instance"`
	Service  ids.Name       `json:"service"`
	Leaving  bool           `json:"leaving"`
	// Incarnation may be left out; a target that shows it is never taken for
	// the run before its restart, which was warm.
	Incarnation ids.Incarnation `json:"incarnation"`
}

// connectionPool keeps idle connections by target. net/http's Transport is not used
// here: it resends by itself on a dead connection, and then an order runs twice.
type connectionPool struct {
	mu      sync.Mutex
	idle    map[ids.InstanceID][]*connection
	localIP net.IP
	// greets: a new connection first asks its target who it is.
	verifyIdentity bool
	// dialTimeout bounds the opening of a connection.
	dialTimeout time.Duration
	// recentIdleLimit is how long a connection may have been idle for a careful request, as
	// learned from those that were found dead; 0 for the most there is.
	recentIdleLimit time.Duration
}

const (
	maxIdlePerTarget   = 32
	defaultMaxIdle     = 5 * time.Second
	defaultDialTimeout = time.Second
	// recentIdleMax is how long a connection may have been idle where what is lost on
	// a dead one can't be sent again.
	recentIdleMax = 1500 * time.Millisecond
	recentIdleMin = 20 * time.Millisecond
	// keepAliveMargin is how much sooner than its target a connection is given up.
	keepAliveMargin = 1500 * time.Millisecond
	// tcpUserTimeout is how long what was sent may go without the target machine's
	// own acknowledgement before the connection counts as dead.
	tcpUserTimeout      = 1200 * time.Millisecond
	maxIdentityDocument = 64 << 10
)

// takeAny gives an idle connection that is surely still open.
func (p *connectionPool) takeAny(id ids.InstanceID, careful bool) *connection {
	for {
		p.mu.Lock()
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		idled := process.Now().Sub(c.idleSince)
		if idled < c.maxIdle && !(careful && idled > p.maxRecentIdle()) && c.isOpen() {
			c.idleBeforeUse, c.responsive = idled, false
			return c
		}
		c.Close()
	}
}

func (p *connectionPool) maxRecentIdle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.recentIdleLimit, recentIdleMax)
}

// recordStale notes that a connection that had been idle was gone as it was used: targets
// may forget connections sooner than they say, and what is lost so can't be sent
// again. recover, now and then, trusts them a little longer.
func (p *connectionPool) recordStale(c *connection) {
	if c.idleBeforeUse == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentIdleLimit = max(min(c.idleBeforeUse/2, cmp.Or(p.recentIdleLimit, recentIdleMax)), recentIdleMin)
}

func (p *connectionPool) relaxRecentIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recentIdleLimit > 0 {
		p.recentIdleLimit = min(p.recentIdleLimit*5/4, recentIdleMax)
	}
}

// put holds a connection for later, unless there are enough.
func (p *connectionPool) put(id ids.InstanceID, c *connection, idle time.Duration) {
	c.idleSince, c.maxIdle = process.Now(), defaultMaxIdle
	if idle > 0 {
		c.maxIdle = max(idle-keepAliveMargin, 0)
	}
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerTarget {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[ids.InstanceID][]*connection{}
	}
	p.idle[id] = append(p.idle[id], c)
}

// closeExpired closes what has been idle for too long.
func (p *connectionPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		var stay []*connection
		for _, c := range list {
			if process.Now().Sub(c.idleSince) < c.maxIdle {
				stay = append(stay, c)
			} else {
				c.Close()
			}
		}
		if len(stay) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = stay
		}
	}
}

// dial dials a target and lets it show who it is, on the very connection that
// requests will use: a later owner of the address never gets one.
func (p *connectionPool) dial(ctx context.Context, t targets.Target, until time.Time) (*connection, error) {
	d := net.Dialer{Timeout: p.dialTimeout, Deadline: until, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, process.TCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
		})
	}}
	if p.localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	conn, err := d.DialContext(ctx, "tcp", string(t.Address))
	if err != nil {
		return nil, errs.Wrap(err, "dial target", string(t.Address))
	}
	c := &connection{Conn: conn, target: targetRunOf(t)}
	c.headerLimit = &io.LimitedReader{R: c, N: maxResponseHeader}
	c.reader = bufio.NewReader(c.headerLimit)
	if !p.verifyIdentity {
		return c, nil
	}
	_ = c.SetDeadline(earlier(until, time.Now().Add(defaultDialTimeout)))
	s, err := c.fetchIdentity(t)
	if err == nil && (s.Instance != t.Instance || s.Service != t.Service) {
		err = errs.New("check target", string(t.Address), "it is %s of %s, not %s of %s", s.Instance, s.Service, t.Instance, t.Service)
	}
	if err == nil && s.Incarnation != 0 && s.Incarnation != t.Incarnation {
		err = errs.New("check target", string(t.Address), "it has restarted since it was last heard of")
	}
	if err == nil && s.Leaving {
		err = errs.New("check target", string(t.Address), "it is leaving")
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *connection) fetchIdentity(t targets.Target) (IdentityDocument, error) {
	var s IdentityDocument
	req, err := http.NewRequest(http.MethodGet, "http://"+string(t.Address)+IdentityPath, nil)
	if err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	if err := req.Write(c.Conn); err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	res, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxIdentityDocument))
	if err != nil || res.StatusCode != http.StatusOK || res.Close {
		return s, errs.New("ask target", string(t.Address), "status %d, close %t, %v", res.StatusCode, res.Close, err)
	}
	return s, errs.Wrap(json.Unmarshal(raw, &s), "read target's page", string(t.Address))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
