package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// TestClientContext closes, half-closes or resets a client's connection while its request is
// pending. net/http cancels the request's own context in each case.
func TestClientContext(t *testing.T) {
	closeConn := func(c *net.TCPConn) { _ = c.Close() }
	halfClose := func(c *net.TCPConn) { _ = c.CloseWrite() }
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	for _, c := range []struct {
		name         string
		policy       HalfClosePolicy
		end          func(*net.TCPConn)
		disconnected bool
	}{
		{"close, half-close disconnects", HalfCloseDisconnects, closeConn, true},
		{"half-close, half-close disconnects", HalfCloseDisconnects, halfClose, true},
		{"reset, half-close disconnects", HalfCloseDisconnects, reset, true},
		{"half-close, half-close allowed", HalfCloseAllowed, halfClose, false},
		{"reset, half-close allowed", HalfCloseAllowed, reset, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			arrived, ended, result := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			server := &http.Server{ConnContext: api.WithConn, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// net/http watches the connection only after the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				client, release := ClientContext(r, c.policy)
				defer release()
				close(arrived)
				<-ended
				<-r.Context().Done()
				if c.disconnected {
					<-client.Done()
				}
				result <- clientDisconnected(r, c.policy) && client.Err() != nil
			})}
			listener := listen(t)
			go func() { _ = server.Serve(clientConnListener{listener}) }()
			t.Cleanup(func() { _ = server.Close() })
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
			is.NoErr(err)
			<-arrived
			c.end(conn.(*net.TCPConn))
			close(ended)
			is.Equal(<-result, c.disconnected)
		})
	}
}

func TestReadOutcomeOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want readOutcome
	}{
		{nil, stillOpen},
		{io.EOF, closedByPeer},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, endedLocally},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, endedLocally},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, resetByPeer},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, resetByPeer},
	} {
		t.Run(fmt.Sprint(c.err), func(t *testing.T) { is.New(t).Equal(readOutcomeOf(c.err), c.want) })
	}
}

// unresponsiveTarget accepts requests without responding. It signals each received request and
// each connection that ended.
type unresponsiveTarget struct {
	net.Listener
	arrived, ended chan struct{}
}

func newUnresponsiveTarget(t *testing.T) *unresponsiveTarget {
	t.Helper()
	target := &unresponsiveTarget{Listener: listen(t), arrived: make(chan struct{}, 8), ended: make(chan struct{}, 8)}
	go acceptAll(target.Listener, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				target.ended <- struct{}{}
				return
			}
			target.arrived <- struct{}{}
		}
	})
	return target
}

// startAttempt forwards a request in the background.
func (d *testDaemon) startAttempt(target net.Listener, attempts attemptContexts) chan dispatch.AttemptFinished {
	d.lastStep.Store(int64(process.Now()))
	finished := make(chan dispatch.AttemptFinished, 1)
	go func() {
		finished <- d.forward(attempts, &ClientRequest{AttemptID: "a", Method: "GET", URI: "/x", Header: http.Header{}}, dispatch.Forward{
			ID: 1, Sequence: 1, Deadline: process.Now().Add(time.Minute), SendBefore: process.Now().Add(time.Minute),
			Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(target.Addr().String())},
		})
	}()
	return finished
}

// TestForward_CanceledAttemptClosesConnection cancels attempts on a new and on a pooled
// connection. The connection is closed, and the pool's recentIdleLimit is not lowered.
func TestForward_CanceledAttemptClosesConnection(t *testing.T) {
	for _, pooled := range []bool{false, true} {
		t.Run(fmt.Sprint("pooled ", pooled), func(t *testing.T) {
			is := is.New(t)
			d, target := newPlainDaemon(0), newUnresponsiveTarget(t)
			if pooled {
				conn, err := net.Dial("tcp", target.Addr().String())
				is.NoErr(err)
				d.pool.put("t", newConnection(conn, targets.Target{Instance: "t", Service: "s", Address: ids.Address(target.Addr().String())}), 0)
				d.ageIdleConnection(t, time.Second)
			}
			attempts := newAttemptContexts()
			finished := d.startAttempt(target, attempts)
			<-target.arrived
			attempts.cancelUnsent() // no effect, since bytes were sent
			select {
			case <-finished:
				t.Fatal("cancelUnsent ended an attempt whose request had been sent")
			default:
			}
			attempts.cancel()
			<-target.ended
			is.Equal((<-finished).Result, dispatch.MayHaveRun)
			is.Equal(len(d.pool.idle["t"]), 0)
			is.Equal(d.pool.recentIdleLimit, time.Duration(0))
		})
	}
}

// TestForward_CanceledBeforeSendingSendsNothing cancels an attempt before its first byte is
// sent.
func TestForward_CanceledBeforeSendingSendsNothing(t *testing.T) {
	for _, pooled := range []bool{false, true} {
		t.Run(fmt.Sprint("pooled ", pooled), func(t *testing.T) {
			is := is.New(t)
			d, target := newPlainDaemon(0), newFakeTarget(t)
			target.respond = echoResponse
			if pooled {
				is.Equal(d.forwardPlain(target, "first").Result, dispatch.Complete)
			}
			before := target.requests.Load()
			attempts := newAttemptContexts()
			attempts.cancelUnsent()
			is.Equal((<-d.startAttempt(target, attempts)).Result, dispatch.NotSent)
			is.Equal(target.requests.Load(), before)
		})
	}
}
