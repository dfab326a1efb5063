// Package dispatch is the load balancer of one service at one proxy: it takes each
// client request through the proxy as a pure state machine.
//
// A Dispatcher queues the request until a target has a free concurrency slot,
// claims the idempotency key of a request that must run at most once, has it
// forwarded, retries it within the retry budget where that is safe, and answers it.
// It also keeps the load-balancing state of each target: slots in use, slow start,
// cooldown after failures and outlier ejection.
//
// # The way of a job
//
// onRequestArrived (job.go) first learns from the idempotency record what earlier attempts
// did, if there may be any; admit (admission.go) queues the job or rejects it; dispatchQueue
// (queue.go) gives it a slot at the endpoint that pickEndpoint (balancer.go) chooses;
// onSlotAcquired claims the key (idempotency.go); forward (forward.go) emits the Forward;
// onAttemptFinished (forward.go) records the result at the endpoint, and answers
// (response.go), stores the outcome or tries again (retry.go). blockedReason is asked at
// admission, when a slot is given, and once more before the Forward.
//
// A job whose client goes away (client_disconnect.go) is given up wherever it is, unless a
// target may be at work on it and it may not be repeated.
//
// # Slow start, cooldown, ejection
//
// Slow start has two forms, of which one holds for a service. In general a restarted target's
// slots grow with its age (slotShare). In a fleet by zone, for a service with a slow-start
// rate, a target gets so many requests a second until SlowStartUntil (slowStartAllows), and
// its slots don't depend on its age.
//
// Cooldown and ejection both say that other targets are preferred until a time
// (endpoint.cooldownUntil); one is set by a single failure, the other by the failure rate
// (outlierDetector). Neither takes capacity away: if no target is ready, all are used.
//
// # Invariants
//
//   - Each request gets exactly one Response, of exactly one ResponseClass. Rejected
//     means that no target has run the request and that none will; what may have
//     run is answered Unknown.
//   - A request that isn't Repeatable is forwarded only under a claim of its
//     idempotency key or, with AtMostOnce set, to a next target only while no
//     earlier target can have begun it.
//   - Nothing of a request is forwarded after its client has gone, and that counts neither
//     as a failure nor as a response of any target.
//   - Nothing is forwarded while the service state is out of date, after the lease on
//     it has expired, or after a freeze of the process.
//   - Over any span of time, retries are at most retryRatio of the first requests
//     plus the capacity of the retry budget.
//   - The slot shares of all proxies at a target add up to the target's slots.
//
// # What it never does
//
// It does no I/O, reads no clock, starts no goroutine and logs nothing: events go
// into Step, commands come out, and its owner (package proxy) carries them out. With
// the same events and the same random source it takes the same decisions.
//
// # Tests
//
// The scripts in testdata/*.trace hold events and the commands expected for each
// (script_test.go, trace_test.go). The simulator (package simulator) runs whole fleets
// of dispatchers against its history checker and replays recorded traces of them.
package dispatch
