// Package idempotency ensures that a non-idempotent request runs at most once, even if its
// client retries it through another proxy.
//
// # Job
//
// Each idempotency key of a route has one replicated register (RegisterKey) whose value is a
// Record: unclaimed, claimed by one request of one run of a proxy, or completed with its
// response. This package defines Record and the operations on it (Ops); package dispatch
// decides when a proxy calls them.
//
// # Invariants
//
//   - At most one owner holds a claim, and only the owner completes it.
//   - An owner that released its claim is never granted another one, as long as it is among
//     the last maxReleasedOwners owners to do so. No attempt below Record.MinAttempt is
//     granted a claim, since the client of a later attempt was told that none of them ran.
//   - A completed record never changes. It is kept for Retention.
//   - Operations are idempotent: a consensus round may apply one twice, and the second run
//     returns the same verdict unless another operation came in between. The exception is
//     OpNumberAttempt, which then skips a number.
//
// # What it never does
//
// It doesn't send messages, read the clock or delete records; stores delete them after
// Retention. The configuration of the route decides whether a request is repeatable.
//
// # Tests
//
// The tests in this package cover the operations. Package testsupport/simulator checks whole
// histories of clients, proxies and stores, and testsupport/compat the encoding of records.
package idempotency
