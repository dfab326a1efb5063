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

// WellKnown is the page on which a target says who it is.
const WellKnown = "/.well-known/dunlinwell"

// IdentityDocument is what that page says.
type IdentityDocument struct {
	Instance ids.InstanceID `json:"instance"`
	Service  ids.Name       `json:"service"`
	Leaving  bool           `json:"leaving"`
	// Incarnation may be left out; a target that shows it is never taken for
	// the run before its restart, which was warm.
	Incarnation ids.Incarnation `json:"incarnation"`
}

// connections keeps idle connections by target. net/http's Transport is not used
// here: it resends by itself on a dead connection, and then an order runs twice.
type connections struct {
	mu   sync.Mutex
	idle map[ids.InstanceID][]*connection
	from net.IP
	// greets: a new connection first asks its target who it is.
	greets bool
	// dialWithin bounds the opening of a connection.
	dialWithin time.Duration
	// fresh is how long a connection may have been idle for a careful request, as
	// learned from those that were found dead; 0 for the most there is.
	fresh time.Duration
}

const (
	mostIdle   = 32
	idleUsable = 5 * time.Second
	dialTarget = time.Second
	// carefulIdle is how long a connection may have been idle where what is lost on
	// a dead one can't be sent again.
	carefulIdle  = 1500 * time.Millisecond
	carefulLeast = 20 * time.Millisecond
	// idleMargin is how much sooner than its target a connection is given up.
	idleMargin = 1500 * time.Millisecond
	// ackWithin is how long what was sent may go without the target machine's
	// own acknowledgement before the connection counts as dead.
	ackWithin   = 1200 * time.Millisecond
	wellKnownIs = 64 << 10
)

// take gives an idle connection that is surely still open.
func (p *connections) take(id ids.InstanceID, careful bool) *connection {
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
		idled := process.Now().Sub(c.idled)
		if idled < c.usable && !(careful && idled > p.careful()) && c.quiet() {
			c.reused, c.heard = idled, false
			return c
		}
		c.Close()
	}
}

func (p *connections) careful() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.fresh, carefulIdle)
}

// dead notes that a connection that had been idle was gone as it was used: targets
// may forget connections sooner than they say, and what is lost so can't be sent
// again. recover, now and then, trusts them a little longer.
func (p *connections) dead(c *connection) {
	if c.reused == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fresh = max(min(c.reused/2, cmp.Or(p.fresh, carefulIdle)), carefulLeast)
}

func (p *connections) recover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fresh > 0 {
		p.fresh = min(p.fresh*5/4, carefulIdle)
	}
}

// keep holds a connection for later, unless there are enough.
func (p *connections) keep(id ids.InstanceID, c *connection, idle time.Duration) {
	c.idled, c.usable = process.Now(), idleUsable
	if idle > 0 {
		c.usable = max(idle-idleMargin, 0)
	}
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= mostIdle {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[ids.InstanceID][]*connection{}
	}
	p.idle[id] = append(p.idle[id], c)
}

// sweep closes what has been idle for too long.
func (p *connections) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		var stay []*connection
		for _, c := range list {
			if process.Now().Sub(c.idled) < c.usable {
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

// open dials a target and lets it show who it is, on the very connection that
// requests will use: a later owner of the address never gets one.
func (p *connections) open(ctx context.Context, t targets.Target, until time.Time) (*connection, error) {
	d := net.Dialer{Timeout: p.dialWithin, Deadline: until, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, process.TCPUserTimeout, int(ackWithin/time.Millisecond))
		})
	}}
	if p.from != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.from}
	}
	conn, err := d.DialContext(ctx, "tcp", string(t.Address))
	if err != nil {
		return nil, errs.Wrap(err, "dial target", string(t.Address))
	}
	c := &connection{Conn: conn, run: runOf(t)}
	c.bound = &io.LimitedReader{R: c, N: mostHead}
	c.read = bufio.NewReader(c.bound)
	if !p.greets {
		return c, nil
	}
	_ = c.SetDeadline(earlier(until, time.Now().Add(dialTarget)))
	s, err := c.ask(t)
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

func (c *connection) ask(t targets.Target) (IdentityDocument, error) {
	var s IdentityDocument
	req, err := http.NewRequest(http.MethodGet, "http://"+string(t.Address)+WellKnown, nil)
	if err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	if err := req.Write(c.Conn); err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	res, err := http.ReadResponse(c.read, req)
	if err != nil {
		return s, errs.Wrap(err, "ask target", string(t.Address))
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wellKnownIs))
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
