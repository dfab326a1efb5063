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

// readEnd is the outcome of a read from a client connection.
type readEnd uint8

const (
	// notEnded means that the last read returned data, or that nothing was read yet.
	notEnded readEnd = iota
	// closedByPeer means that the client closed the connection or only its sending side. The
	// two can't be told apart until data is sent.
	closedByPeer
	// resetByPeer means that the client or its host reset the connection, or that it timed
	// out at the TCP level.
	resetByPeer
	// endedHere means that the read deadline passed or this side closed the connection, which
	// says nothing about the client.
	endedHere
)

// readEndOf classifies the error of a read.
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

// HalfCloseRule specifies how to treat a client that closes its sending side before it has
// received its response.
type HalfCloseRule uint8

const (
	// HalfCloseWaits treats the client as connected, so that it gets its response. Only a reset
	// counts as a disconnect.
	HalfCloseWaits HalfCloseRule = iota
	// HalfCloseLeaves treats a half-close as a disconnect.
	HalfCloseLeaves
)

// ClientContext returns a context for Dispatch that is canceled when the request's client
// disconnects. The returned function cancels it and releases its resources. The request's own
// context doesn't serve, since net/http also cancels it for other reasons, such as a read
// timeout.
//
// A disconnect is detected only after the request's body was read, and not after the client
// has begun to send its next request.
func ClientContext(r *http.Request, rule HalfCloseRule) (context.Context, context.CancelFunc) {
	client, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		if clientHasGone(r, rule) {
			cancel()
		}
	})
	return client, func() { stop(); cancel() }
}

// clientHasGone reports whether a request's context was canceled because its client
// disconnected.
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
