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
// Invariants:
//
//   - No request is sent to a target after the lease has ended ([MaySend] is checked
//     just before the first byte). Other daemons rely on this when they count on a
//     change, a drained zone or a departed target to have reached every proxy.
//   - A configuration is never replaced by an older one.
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
