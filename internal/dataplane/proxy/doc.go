// Package proxy implements the proxy daemon. It accepts client requests, finds their route and
// forwards each to a target selected by the service's dispatcher (package dispatch).
//
// It consists of two parts:
//
//   - [Control] is a state machine without I/O (event.StateMachine). It receives configuration and
//     target updates from registries, maintains the proxy's lease, and sends every dispatcher
//     the state of its service. The simulator runs the same code.
//   - [Daemon] is the process around it: client listeners, the connection pool to targets, the
//     dispatchers and their locks, and the HTTP pages for operators.
//
// Request flow: clientListener accepts the connection (client_listener.go, client_server.go).
// handleClientRequest (client_handler.go) finds the route, reads the request
// (client_request.go, memory_budget.go) and calls [Daemon.Dispatch] (dispatchers.go), which
// passes a dispatch.RequestArrived to the dispatcher and waits for its dispatch.Response.
// Meanwhile executeDispatch executes the dispatcher's commands: forward executes a
// dispatch.Forward (forward.go, connection_pool.go, identity.go, target_protocol.go,
// target_response.go); a dispatch.IdempotencyCall goes through Control (idempotency.go), which
// calls the stores, and the reply returns as a [DispatchEvent].
//
// When a client disconnects, its ClientContext is canceled (client_disconnect.go). The
// dispatcher receives a dispatch.ClientDisconnected, and may respond with a
// dispatch.CancelForward, which aborts the attempt by closing the connection to the target
// (attempt_contexts.go). net/http watches a client connection only after the request's body
// was read.
//
// A registry's push confirms configuration and targets (see lease.go). A proxy whose last
// confirmation is older than the given age takes these steps:
//
//   - 1 s: it reads the configuration from the stores itself (storeQueryAge).
//   - 1.2 s: it requests the confirmations of other proxies (gossipAfter, lease_gossip.go).
//   - 1.5 s: it counts as cut off and is no longer ready, so the directory stops returning it
//     (cutOffTimeout); if only the configuration is unconfirmed, after 1.9 s
//     (maxConfirmationAge).
//   - 2.5 s: its lease expires, and it rejects requests (DefaultLease).
//
// With SlotLayout.ByZone some of these ages are longer. A proxy with an unlimited lease continues
// to serve, except while its message processing is delayed (message_delay.go): a newer
// configuration may be waiting unread in its sockets.
//
// Invariants:
//
//   - No request is sent to a target after the lease has expired ([MaySend] is checked just
//     before the first byte). Other daemons rely on this when they assume that a change, the
//     draining of a zone or a target's departure has taken effect on every proxy.
//   - A configuration is never replaced by an older one.
//   - The router never contains a route whose rules its dispatcher lacks (sendChangedRouteRules).
//   - A push is acknowledged only after the dispatchers have received its contents.
//   - A request that may have reached its target is never resent by this package, and no
//     response is passed on before it was read completely and checked.
//   - No connection carries the same request twice, so that the request's ID shows to which
//     sending of it a response belongs.
//   - Request and response bodies together stay within one memory budget; a request that
//     doesn't fit is rejected immediately.
//
// The package never selects targets, decides on retries, or determines the owner of an
// idempotency key; packages dispatch and idempotency do. It never writes to the replicated
// registers except on behalf of a dispatcher.
//
// The tests in this package cover the code that uses sockets (connection pool, client
// listener, forwarding with faults at every byte) and the slot and lease rules. Control is
// tested as part of a cluster in testsupport/simulator.
package proxy
