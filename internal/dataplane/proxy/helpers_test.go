package proxy

import (
	"cmp"
	"net"
	"net/http"
	"testing"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/transport/process"
)

// testDaemon is a daemon whose forwarding works without Run.
type testDaemon struct{ *Daemon }

// newTestDaemon returns a daemon that speaks the native protocol.
func newTestDaemon() *testDaemon {
	d := NewDaemon(DaemonOptions{Common: settings.Common{Name: "c1", Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", Zone: "a", LogLevel: "error"}, MaxResponseBytes: 1000})
	d.self = membership.Member{ID: "c1", RunID: 7}
	return &testDaemon{d}
}

// newPlainDaemon returns a daemon that speaks plainProtocol.
func newPlainDaemon(idleTimeout time.Duration) *testDaemon {
	d := newTestDaemon()
	d.targetProtocol = plainProtocol{idleTimeout}
	d.pool.verifyIdentity = false
	return d
}

// setRoute sets a configuration with a single route, and a valid lease.
func (d *testDaemon) setRoute(route string) {
	d.servingState.Store(&ServingState{LeaseValid: true})
	d.router.Store(newRouter(&configuration.View{Routes: map[ids.Name]configuration.Route{
		ids.Name(route): {Name: ids.Name(route), Prefix: "/" + route, Service: "ledger", TimeoutMillis: 1000, MaxBodyBytes: 10},
	}}))
}

// forwardNative forwards a request by the native protocol, as if Control had just stepped.
func (d *testDaemon) forwardNative(target net.Listener, newConnection, repeatable bool) dispatch.AttemptFinished {
	d.lastStep.Store(int64(process.Now()))
	request := &ClientRequest{
		Method: "POST", URI: "/x?y=1", Body: []byte("{}"),
		Job:    dispatch.Job{ID: 3, IdempotencyKey: "m", Attempt: 1, Repeatable: repeatable},
		Header: http.Header{"Idempotency-Key": {"m"}, "Connection": {"X-Own"}, "X-Own": {"1"}, "X-Kept": {"2"}},
	}
	return d.forward(newAttemptContexts(), request, dispatch.Forward{
		ID: 3, Sequence: 1, NewConnection: newConnection,
		Deadline: process.Now().Add(5 * time.Second), SendBefore: process.Now().Add(5 * time.Second),
		Target: targets.Target{Instance: "t", Service: "s", Incarnation: 4, Address: ids.Address(target.Addr().String())},
	})
}

// forwardPlain forwards a request with the given ID by plainProtocol.
func (d *testDaemon) forwardPlain(target net.Listener, id string) dispatch.AttemptFinished {
	return d.forwardRequest(target, &ClientRequest{AttemptID: id}, false, 5*time.Second)
}

// forwardRecentlyUsedOnly is forwardPlain restricted to recently used connections.
func (d *testDaemon) forwardRecentlyUsedOnly(target net.Listener, id string) dispatch.AttemptFinished {
	return d.forwardRequest(target, &ClientRequest{AttemptID: id}, true, 5*time.Second)
}

// forwardRequest forwards a request by plainProtocol within a time limit, as if Control had
// just stepped.
func (d *testDaemon) forwardRequest(target net.Listener, request *ClientRequest, recentlyUsedOnly bool, limit time.Duration) dispatch.AttemptFinished {
	d.lastStep.Store(int64(process.Now()))
	request.Method, request.URI, request.Header = cmp.Or(request.Method, http.MethodPost), "/x", http.Header{"Id": {request.AttemptID}}
	return d.forward(newAttemptContexts(), request, dispatch.Forward{
		ID: 1, Sequence: 1, RecentlyUsedOnly: recentlyUsedOnly,
		Deadline: process.Now().Add(limit), SendBefore: process.Now().Add(limit),
		Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(target.Addr().String())},
	})
}

// ageIdleConnection sets the idle time of the only idle connection.
func (d *testDaemon) ageIdleConnection(t *testing.T, idle time.Duration) {
	t.Helper()
	list := d.pool.idle["t"]
	if len(list) != 1 {
		t.Fatalf("%d idle connections, want 1", len(list))
	}
	list[0].idleSince = process.Now().Add(-idle)
}

// closeIdleConnections closes all idle connections, so that the next request opens a new one.
func (d *testDaemon) closeIdleConnections() {
	for c := d.pool.takeAny("t", false, nil); c != nil; c = d.pool.takeAny("t", false, nil) {
		c.discard()
	}
}

// plainProtocol is a target protocol without identity documents, in which a response carries
// the ID of its request.
type plainProtocol struct{ idleTimeout time.Duration }

func (plainProtocol) VerifiesIdentity() bool { return false }

func (plainProtocol) RequestHeader(request *ClientRequest, _ dispatch.Forward, _ time.Duration) http.Header {
	return StripHopByHopHeaders(request.Header)
}

func (p plainProtocol) CheckResponse(response *http.Response, body []byte, request *ClientRequest, _ dispatch.Forward) (CheckedResponse, error) {
	complete := CheckedResponse{Result: dispatch.Complete, Response: NewResponse(response, body), KeepAlive: true, IdleTimeout: p.idleTimeout}
	switch response.Header.Get("Id") {
	case request.AttemptID:
		return complete, nil
	case "":
		return complete, errs.New("check response", "", "no id")
	}
	return CheckedResponse{ForOtherRequest: true, KeepAlive: true}, nil
}
