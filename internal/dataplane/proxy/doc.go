// Package proxy is the proxy daemon: it accepts clients' requests, finds their route,
// and forwards each to a target that the service's dispatcher (package dispatch) chose.
//
// It has two halves.
//
//   - [Control] is a pure state machine (event.Machine). It receives configuration and
//     target updates from registries, keeps the lease by which the proxy may serve, and
//     sends every dispatcher the state of its service. The simulator runs this very code.
//   - [Daemon] is the process around it: listeners for clients, the connection pool to
//     targets, the dispatchers behind their locks, and the HTTP pages for operators.
//
// The way of a request: clientListener accepts it (client_listener.go, client_server.go),
// handleClientRequest (client_handler.go) finds its route, reads it (client_request.go,
// memory_budget.go) and calls [Daemon.Dispatch] (dispatchers.go), which gives the
// dispatcher a dispatch.RequestArrived and waits for its dispatch.Response. In between,
// executeDispatch carries out the dispatcher's commands: a dispatch.Forward by forward
// (forward.go: connection_pool.go, identity.go, target_protocol.go, target_response.go),
// a dispatch.IdempotencyCall through Control (idempotency.go), which has the connection to
// the stores; its reply comes back as a [DispatchEvent].
//
// A client that goes away ends its ClientContext (client_departure.go). The dispatcher hears
// of it as a dispatch.ClientDisconnected, and may answer with a dispatch.CancelForward, which
// ends the attempt at the target by closing its connection (attempt_contexts.go). net/http
// watches a client's connection from the end of the request's body on.
//
// A proxy without confirmations goes through these steps, by their age (a registry's push
// confirms configuration and targets; lease.go says what counts):
//
//   - 1 s: it reads the configuration from the stores itself (storeQueryAge).
//   - 1.2 s: it asks other proxies for theirs (gossipAfter, lease_gossip.go).
//   - 1.5 s: it counts as cut off and is no longer ready, so the directory stops naming
//     it (cutOffTimeout); at 1.9 s also if only the configuration is unconfirmed
//     (maxConfirmationAge).
//   - 2.5 s: its lease ends, and it rejects requests (DefaultLease).
//
// In a fleet by zone some of them come later. A proxy with an endless lease goes on.
//
// With an endless lease it stops all the same while it is behind with its messages
// (message_delay.go): the newer configuration may lie unread in its sockets.
//
// Invariants:
//
//   - No request is sent to a target after the lease has ended ([MaySend] is checked
//     just before the first byte). Other daemons rely on this when they count on a
//     change, a drained zone or a departed target to have reached every proxy.
//   - A configuration is never replaced by an older one.
//   - The router never has a route whose terms its dispatcher lacks (sendChangedTerms).
//   - A push is acknowledged only after the dispatchers have received its contents.
//   - A request that may have reached its target is never sent again by this package,
//     and no response is passed on before it was read whole and checked.
//   - Request and response bodies together stay within one memory budget; a request
//     that doesn't fit is rejected at once.
//
// The package never decides which target is used, whether a request is retried, or who
// owns an idempotency key: that is the work of dispatch and idempotency. It never writes
// to the replicated registers except on behalf of a dispatcher.
//
// Tests beside the code cover the parts that touch sockets (connection pool, client
// listener, forwarding with faults at every byte) and the slot and lease rules; the
// control machine in a whole cluster is tested in testsupport/simulator.
package proxy
