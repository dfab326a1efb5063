package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProcessingTurns_BoundRequestsInWork has many requests arrive at one moment at a listener
// with two turns, and counts how many are worked on at once. Each one that goes on to wait, as
// for a target, makes room for the next.
func TestProcessingTurns_BoundRequestsInWork(t *testing.T) {
	is := is.New(t)
	const turns, requests = 2, 40
	var inWork, most atomic.Int64
	waiting := make(chan struct{}, requests)
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := inWork.Add(1)
		for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
			continue
		}
		client, done := ClientContext(r, HalfCloseLeaves)
		defer done()
		inWork.Add(-1)
		endTurn(client)
		waiting <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	l := listen(t)
	clients, _, _ := startClientListener(t, l, handler)
	is.True(cap(clients.turns) >= turns)
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if status := dial(t, l.Addr()).roundTrip(t, "").StatusCode; status != http.StatusNoContent {
				t.Errorf("status %d", status)
			}
		})
	}
	for range requests {
		<-waiting // all get this far, though none is answered yet
	}
	close(release)
	all.Wait()
	is.True(most.Load() <= int64(cap(clients.turns)))
	is.Equal(len(clients.turns), 0) // every turn has come back
}

// TestClientConn_TurnEnds: a turn ends with the next read, with a write and with the end of the
// connection, and only once. Watching a connection takes none.
func TestClientConn_TurnEnds(t *testing.T) {
	text := func(p []byte) (int, error) { return copy(p, "text"), nil }
	for name, end := range map[string]func(c *clientConn){
		"next read": func(c *clientConn) {
			go func() { _, _ = c.Read(make([]byte, 8)) }()
		},
		"write":    func(c *clientConn) { _, _ = c.Write([]byte("x")) },
		"close":    func(c *clientConn) { _ = c.Close() },
		"its wait": func(c *clientConn) { c.passTurn() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turns := make(processingTurns, 1)
			conn := newScriptedConn(text)
			c := &clientConn{Conn: conn, turns: turns}
			t.Cleanup(func() { _ = conn.Close() })
			_, err := c.Read(make([]byte, 8))
			is.NoErr(err)
			is.Equal(len(turns), 1)
			is.True(time.Since(c.lastArrival()) < time.Minute)
			end(c)
			turns.take() // there is room again
			c.passTurn()
			is.Equal(len(turns), 1) // the one taken here
		})
	}
}
