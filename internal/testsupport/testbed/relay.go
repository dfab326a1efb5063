package testbed

import (
	"net"
	"sync"
	"time"

	"dunlinwell/internal/base/errs"
)

const (
	// relayDialTimeout bounds a connection to the real address, which is on this machine.
	relayDialTimeout = time.Second
	// relayBufferBytes is the most that is read at once.
	relayBufferBytes = 32 << 10
	// relayQueueReads is how many reads may wait for their delay; beyond that the
	// sender is held up, as by a full network buffer.
	relayQueueReads = 1024
)

// Relay passes on all connections between the machines of a fleet. It delays
// bytes between regions, and partitions the network. Every address of a daemon or
// target leads to the relay, which dials the address where it really listens.
type Relay struct {
	// Delay is how long a byte takes from one IP address to another.
	Delay func(from, to string) time.Duration

	// mu guards all below, and the server of each connection.
	mu          sync.Mutex
	partitions  map[*Partition]bool
	connections map[*relayedConnection]bool
	listeners   []net.Listener
}

// Partition is a fault of the network. While it lasts, bytes that it blocks are
// dropped and new connections that it blocks hang.
type Partition struct {
	// Blocks tells whether bytes of a connection opened from one IP address to
	// another are blocked; it applies to both directions of the connection.
	Blocks func(from, to string) bool
}

// relayedConnection is a connection opened by a client from one IP address to
// another. Its server is nil until the relay has dialled it.
type relayedConnection struct {
	from, to       string
	client, server net.Conn
}

func (c *relayedConnection) close() {
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

// Forward listens on an address, and passes its connections on to another.
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
			client, err := l.Accept()
			if err != nil {
				return // closed by Close
			}
			go r.relayConnection(client, to)
		}
	}()
	return nil
}

// StartPartition begins a partition. Open connections stay open, and go silent.
func (r *Relay) StartPartition(p *Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions == nil {
		r.partitions = map[*Partition]bool{}
	}
	r.partitions[p] = true
}

// EndPartition ends a partition, and closes the connections that it blocked: what
// they lost would leave holes in their streams.
func (r *Relay) EndPartition(p *Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.partitions, p)
	for c := range r.connections {
		if p.Blocks(c.from, c.to) {
			delete(r.connections, c)
			c.close()
		}
	}
}

// Close closes all listeners and connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for c := range r.connections {
		c.close()
	}
}

// isBlocked tells whether a partition blocks a connection. The caller holds mu.
func (r *Relay) isBlocked(from, to string) bool {
	for p := range r.partitions {
		if p.Blocks(from, to) {
			return true
		}
	}
	return false
}

// relayConnection serves one connection until either end closes it.
func (r *Relay) relayConnection(client net.Conn, to string) {
	c := &relayedConnection{from: ipOf(client.RemoteAddr().String()), to: ipOf(to), client: client}
	if r.register(c) {
		return // EndPartition closes it: on a real network it would hang as well
	}
	defer r.remove(c)
	// The server must see the client's IP address, to which Blocks and Delay refer.
	dialer := net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	server, err := dialer.Dial("tcp", to)
	if err != nil {
		return
	}
	r.mu.Lock()
	c.server = server
	r.mu.Unlock()
	delay := r.Delay(c.from, c.to)
	go func() {
		defer c.close()
		r.copyDelayed(c, server, client, delay)
	}()
	r.copyDelayed(c, client, server, delay)
}

// register adds a connection, and tells whether a partition blocks it.
func (r *Relay) register(c *relayedConnection) (blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connections == nil {
		r.connections = map[*relayedConnection]bool{}
	}
	r.connections[c] = true
	return r.isBlocked(c.from, c.to)
}

func (r *Relay) remove(c *relayedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	c.close()
}

// delayedBytes are passed on no sooner than due.
type delayedBytes struct {
	due  time.Time
	data []byte
}

// copyDelayed passes bytes on in one direction until either end closes.
func (r *Relay) copyDelayed(c *relayedConnection, from, to net.Conn, delay time.Duration) {
	queue := make(chan delayedBytes, relayQueueReads)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, relayBufferBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- delayedBytes{time.Now().Add(delay), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for b := range queue {
		time.Sleep(time.Until(b.due))
		r.mu.Lock()
		blocked := r.isBlocked(c.from, c.to)
		r.mu.Unlock()
		// What a partition drops isn't sent later: EndPartition closes the connection.
		if blocked {
			continue
		}
		if _, err := to.Write(b.data); err != nil {
			return
		}
	}
}
