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

// readOutcome is the outcome of a read from a client connection.
type readOutcome uint8

const (
	// stillOpen means that the last read returned data, or that nothing was read yet.
	stillOpen readOutcome = iota
	// closedByPeer means that the client closed the connection or only its sending side. The
	// two can't be told apart until data is sent.
	closedByPeer
	// resetByPeer means that the client or its host reset the connection, or that it timed
	// out at the TCP level.
	resetByPeer
	// endedLocally means that the read deadline passed or this side closed the connection, which
	// says nothing about the client.
	endedLocally
)

// readOutcomeOf classifies the error of a read.
func readOutcomeOf(err error) readOutcome {
	switch {
	case err == nil:
		return stillOpen
	case errors.Is(err, io.EOF):
		return closedByPeer
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return endedLocally
	}
	return resetByPeer
}

// HalfClosePolicy specifies how to treat a client that closes its sending side before it has
// received its response.
type HalfClosePolicy uint8

const (
	// HalfCloseAllowed treats the client as connected, so that it gets its response. Only a reset
	// counts as a disconnect.
	HalfCloseAllowed HalfClosePolicy = iota
	// HalfCloseDisconnects treats a half-close as a disconnect.
	HalfCloseDisconnects
)

// ClientContext returns a context for Dispatch that is canceled when the request's client
// disconnects. The returned function cancels it and releases its resources. The request's own
// context doesn't serve, since net/http also cancels it for other reasons, such as a read
// timeout.
//
// A disconnect is detected only after the request's body was read, and not after the client
// has begun to send its next request.
func ClientContext(r *http.Request, policy HalfClosePolicy) (context.Context, context.CancelFunc) {
	client, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		if clientDisconnected(r, policy) {
			cancel()
		}
	})
	return client, func() { stop(); cancel() }
}

// clientDisconnected reports whether a request's context was canceled because its client
// disconnected.
func clientDisconnected(r *http.Request, policy HalfClosePolicy) bool {
	conn, ok := api.ConnOf(r).(*clientConn)
	if !ok {
		return true
	}
	switch conn.readOutcome() {
	case resetByPeer:
		return true
	case closedByPeer:
		return policy == HalfCloseDisconnects
	}
	return false
}

// clientConnListener wraps accepted connections in a clientConn, so that ClientContext can
// find out how reading them ended.
type clientConnListener struct{ net.Listener }

func (l clientConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}
