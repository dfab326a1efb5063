package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"dunlinwell/internal/app/api"
)

// readEnd is how reading a client's connection ended.
type readEnd uint8

const (
	// notEnded: the last read brought something, or there was none yet.
	notEnded readEnd = iota
	// closedByPeer: the client has closed the connection, or only its sending side. The two
	// look the same until something is sent.
	closedByPeer
	// resetByPeer: the client, or its machine, has dropped the connection.
	resetByPeer
	// endedHere: reading timed out, or this side has closed the connection. That says
	// nothing of the client.
	endedHere
)

// readEndOf returns what the error of a read says.
func readEndOf(err error) readEnd {
	switch {
	case err == nil:
		return notEnded
	case errors.Is(err, io.EOF):
		return closedByPeer
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return endedHere
	}
	return resetByPeer
}

// HalfCloseRule says what it means if a client closes its sending side before it has its
// response.
type HalfCloseRule uint8

const (
	// HalfCloseWaits means that the client may still read, and gets its response. Only a reset means
	// that it has gone.
	HalfCloseWaits HalfCloseRule = iota
	// HalfCloseLeaves means that the client has gone.
	HalfCloseLeaves
)

// ClientContext returns a context that ends when a request's client has gone, for Dispatch.
// It is released by the function, after which it has ended. net/http ends a request's own
// context for other reasons as well, such as a read that timed out.
//
// The connection is watched only once the request's body was read, and no longer once the
// client has begun to send its next request.
func ClientContext(r *http.Request, rule HalfCloseRule) (context.Context, context.CancelFunc) {
	client, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		if clientHasGone(r, rule) {
			cancel()
		}
	})
	return client, func() { stop(); cancel() }
}

// clientHasGone tells whether a request's context has ended because of its client.
func clientHasGone(r *http.Request, rule HalfCloseRule) bool {
	conn, ok := api.ConnOf(r).(*clientConn)
	if !ok {
		return true
	}
	switch conn.readEnd() {
	case resetByPeer:
		return true
	case closedByPeer:
		return rule == HalfCloseLeaves
	}
	return false
}

// clientConnListener wraps the connections of a listener, so that ClientContext can tell how
// reading them ended.
type clientConnListener struct{ net.Listener }

func (l clientConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}
