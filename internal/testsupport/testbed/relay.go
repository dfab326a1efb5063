package testbed

import (
	"net"
	"sync"
	"time"

	"dunlinwell/internal/base/errs"
)

const (
	// relayDialTimeout bounds dialing the destination, which is on this machine.
	relayDialTimeout = time.Second
	// relayBufferBytes is the size of the read buffer.
	relayBufferBytes = 32 << 10
	// relayQueueReads bounds the delayed reads in each direction of a connection; a full
	// queue blocks the sender, like a full network buffer.
	relayQueueReads = 1024
)

// Relay forwards all connections between the machines of a fleet. It adds latency between
// regions and simulates network partitions. The relay listens on the advertised address of
// each daemon and target, and dials the address on which that actually listens.
type Relay struct {
	// Delay returns the one-way latency between two IP addresses.
	Delay func(from, to string) time.Duration

	// mu guards the fields below, and the server of each connection.
	mu          sync.Mutex
	partitions  map[*Partition]bool
	connections map[*relayedConnection]bool
	listeners   []net.Listener
}

// Partition is a network partition. While it lasts, the bytes of blocked connections are
// dropped, and new blocked connections hang.
type Partition struct {
	// Blocks reports whether connections opened from one IP address to another are
	// blocked, in both directions.
	Blocks func(from, to string) bool
}

// relayedConnection is a connection opened by a client from one IP address to another.
// The server side is nil until the relay has dialed it.
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

// Forward listens on an address, and forwards its connections to another.
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
				return // listener closed by Close
			}
			go r.relayConnection(client, to)
		}
	}()
	return nil
}

// StartPartition starts a partition. Blocked connections stay open, but transfer nothing.
func (r *Relay) StartPartition(p *Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions == nil {
		r.partitions = map[*Partition]bool{}
	}
	r.partitions[p] = true
}

// EndPartition ends a partition, and closes the connections that it blocked, as bytes
// are missing from their streams.
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

// isBlocked reports whether a partition blocks a connection. The caller holds mu.
func (r *Relay) isBlocked(from, to string) bool {
	for p := range r.partitions {
		if p.Blocks(from, to) {
			return true
		}
	}
	return false
}

// relayConnection forwards one connection until either end closes it.
func (r *Relay) relayConnection(client net.Conn, to string) {
	c := &relayedConnection{from: ipOf(client.RemoteAddr().String()), to: ipOf(to), client: client}
	if r.register(c) {
		return // the connection hangs, as on a real network, until EndPartition closes it
	}
	defer r.remove(c)
	// The server must see the client's IP address, which it and the relay use to tell
	// machines apart.
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

// register adds a connection, and reports whether a partition blocks it.
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

// delayedBytes is data to be forwarded when it is due.
type delayedBytes struct {
	due  time.Time
	data []byte
}

// copyDelayed forwards bytes in one direction, with a delay, until either end closes.
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
		// Blocked bytes are dropped; EndPartition later closes the connection.
		if blocked {
			continue
		}
		if _, err := to.Write(b.data); err != nil {
			return
		}
	}
}
