package testbed

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"dunlinwell/internal/base/errs"
)

// Relay stands between all machines: each address leads through it, those of
// daemons, of their pages and of targets, so it can delay what passes between
// regions, and cut.
type Relay struct {
	// Delay tells how long a byte takes from one IP number to another.
	Delay       func(from, to string) time.Duration
	mu          sync.Mutex
	partitions  map[*Partition]bool
	connections map[*relayedConnection]bool
	listeners   []net.Listener
}

// Partition keeps one side's bytes from reaching the other's address.
type Partition struct{ Blocks func(from, to string) bool }

type relayedConnection struct {
	from, to       string
	client, server net.Conn
}

func (c *relayedConnection) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

// Forward opens an address that leads to another.
func (r *Relay) Forward(address, to string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err, "relay", address)
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relayConnection(c, to)
		}
	}()
	return nil
}

func ipOf(a string) string {
	p, err := netip.ParseAddrPort(a)
	if err != nil {
		return a
	}
	return p.Addr().String()
}

func (r *Relay) blocked(from, to string) bool {
	for c := range r.partitions {
		if c.Blocks(from, to) {
			return true
		}
	}
	return false
}

// relayConnection carries one connection; a cut one hangs, as it would on a real net.
func (r *Relay) relayConnection(c net.Conn, to string) {
	l := &relayedConnection{from: ipOf(c.RemoteAddr().String()), to: ipOf(to), client: c}
	r.mu.Lock()
	if r.connections == nil {
		r.connections = map[*relayedConnection]bool{}
	}
	r.connections[l] = true
	blocked := r.blocked(l.from, l.to)
	r.mu.Unlock()
	if blocked {
		return // stays open and silent until the cut ends
	}
	defer r.remove(l)
	// The other end sees whose connection it is.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.from)}}
	b, err := d.Dial("tcp", to)
	if err != nil {
		return
	}
	r.mu.Lock()
	l.server = b
	r.mu.Unlock()
	delay := r.Delay(l.from, l.to)
	go func() { defer l.close(); r.copyDelayed(l, b, c, delay) }()
	r.copyDelayed(l, c, b, delay)
}

func (r *Relay) remove(l *relayedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, l)
	l.close()
}

type delayedBytes struct {
	at  time.Time
	raw []byte
}

// copyDelayed carries bytes one way, each no sooner than its delay.
func (r *Relay) copyDelayed(l *relayedConnection, from, to net.Conn, delay time.Duration) {
	queue := make(chan delayedBytes, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- delayedBytes{time.Now().Add(delay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range queue {
		time.Sleep(time.Until(p.at))
		r.mu.Lock()
		blocked := r.blocked(l.from, l.to)
		r.mu.Unlock()
		// What a cut swallows is gone with its connection.
		if blocked {
			continue
		}
		if _, err := to.Write(p.raw); err != nil {
			return
		}
	}
}

// StartPartition starts a cut, and End ends it; connections that it touched don't survive.
func (r *Relay) StartPartition(c *Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions == nil {
		r.partitions = map[*Partition]bool{}
	}
	r.partitions[c] = true
}

// EndPartition ends a cut.
func (r *Relay) EndPartition(c *Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.partitions, c)
	for l := range r.connections {
		if c.Blocks(l.from, l.to) {
			delete(r.connections, l)
			l.close()
		}
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.listeners {
		p.Close()
	}
	for l := range r.connections {
		l.close()
	}
}
