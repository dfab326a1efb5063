// Package idempotency ensures that a request which must not be repeated runs at most
// once, also when its client sends it again through another proxy.
//
// # Job
//
// Each idempotency key of a route has one replicated register (RegisterKey), whose
// value is a Record: unclaimed, claimed by one request in one run of one proxy, or
// completed with its response. The package holds the Record and its operations (Ops);
// package dispatch decides when a proxy calls them.
//
// # Invariants
//
//   - At most one owner holds a claim, and only the owner completes it.
//   - An owner that released its claim never gets it again (the last maxReleasedOwners of
//     them are remembered), and no attempt below Record.MinAttempt gets one: the client
//     of a later attempt was told that none of them ran.
//   - A completed record never changes. It is kept for Retention.
//   - A consensus round may run an operation twice: the second run gives the same verdict
//     if nothing came between. Only OpNumberAttempt skips a number.
//
// # What it never does
//
// It sends nothing, keeps no time and doesn't delete records: stores do after
// Retention. It doesn't decide whether a request is repeatable: its route does.
//
// # Tests
//
// The operations are tested beside the code. Whole histories of clients, proxies and
// stores are checked in package testsupport/simulator, stored bytes in
// testsupport/compat.
package idempotency
