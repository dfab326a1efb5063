// Package dispatch implements the load balancer of one service at one proxy, as a pure
// state machine that handles each client request from arrival to response.
//
// A Dispatcher queues a request until a target has a free concurrency slot, claims the
// idempotency key of a request that must run at most once, emits the command to forward
// it, retries it within the retry budget where that is safe, and emits the response. It
// also keeps the load-balancing state of each target: slots in use, slow start, cooldown
// after failures and outlier ejection.
//
// # Life cycle of a job
//
// A job passes through these steps:
//
//   - onRequestArrived (job.go) reads the idempotency record if there may be earlier attempts.
//   - admit (admission.go) queues or rejects the job.
//   - dispatchQueue (queue.go) assigns it a slot at the endpoint that pickEndpoint
//     (balancer.go) chooses.
//   - onSlotAcquired (queue.go) claims the idempotency key (idempotency.go).
//   - forward (forward.go) emits the Forward command.
//   - onAttemptFinished (forward.go) records the result at the endpoint, then responds
//     (response.go), stores the outcome or retries (retry.go).
//
// blockedReason is checked at admission, when a slot is assigned, and again right before
// the Forward.
//
// A job whose client disconnects (client_disconnect.go) is abandoned in any state, unless it
// isn't repeatable and a target may be running it.
//
// # Slow start, cooldown, ejection
//
// Slow start has two forms, and each service uses one of them. By default a restarted
// target's slots grow with its age (slotShare). If slots are divided by zone (proxy.SlotLayout)
// and the service has a slow-start rate, the rate limits a target's requests per second until
// SlowStartUntil (slowStartAllows), and its slots don't depend on its age.
//
// During cooldown or ejection other targets are preferred (endpoint.cooldownUntil). A single
// failure starts a cooldown; the failure rate causes an ejection (outlierDetector). Neither
// removes capacity: if no target is ready, all available ones are used.
//
// # Invariants
//
//   - Each request gets exactly one Response, of exactly one ResponseClass. Rejected
//     means that no target has run the request and that none will; a request that may
//     have run gets Unknown.
//   - A request that isn't Repeatable is forwarded only under a claim of its
//     idempotency key. With AtMostOnce set it needs no claim, but is forwarded to another
//     target only if no earlier target can have started it.
//   - No request is forwarded after its client has disconnected. An attempt canceled for
//     that counts neither as a failure nor as a response of its target.
//   - No request is forwarded while the service state is out of date, after the lease on
//     it has expired, or after a process pause.
//   - Over any period, the number of retries is at most retryRatio times the number of
//     first requests plus the capacity of the retry budget.
//   - The slot shares of the proxies that divide a target's slots add up to these slots,
//     times Allocation.Oversubscription.
//
// # What it never does
//
// The package does no I/O, reads no clock, starts no goroutines and logs nothing. Step takes
// an event and returns commands, which the caller (package proxy) executes. Given the same
// events and the same random source, a dispatcher makes the same decisions.
//
// # Tests
//
// The scripts in testdata/*.trace contain events and the commands expected for each
// (script_test.go, trace_test.go). Package simulator runs whole fleets of dispatchers,
// checks their histories and replays recorded traces.
package dispatch
