// Package configuration holds the dynamic configuration of the load balancer:
// services, routes, zones and client limits, each with a version.
//
// # Job
//
// The whole configuration is one Document, stored as the value of one replicated
// register (Key). An operator changes it in three ways, each an operation of that
// register (Ops):
//
//   - Change puts, alters or removes items under a change id (Document.Apply);
//   - Merge sets items whose versions the caller assigns (Document.Merge);
//   - ZoneOrder evacuates a zone or ends its evacuation (Document.OrderZone).
//
// Daemons read a Document as a View, in which defaults are filled in, and receive
// either a whole Document or a delta (ChangesSince, Advance).
//
// # Invariants
//
//   - An operation takes effect whole or not at all. That, and the rule that a route
//     never outlives its service, is why there is one register and not one for
//     each item.
//   - A version never decreases, also when an item is removed and made again.
//   - A version or a change id stands for one content. A copy of an accepted request
//     is acknowledged again or gets no definite answer; it is never rejected and
//     never applied twice. A copy of a rejected one is never accepted
//     (docs/control/resent.md).
//   - A Document that was returned to a caller is never modified; changes return a
//     new one that shares unchanged data with it.
//   - Encode writes the bytes that json.Marshal would: stores compare and hash
//     register values as bytes.
//
// # What it never does
//
// It does no input or output, keeps no time and starts no goroutines. It doesn't
// choose which operation goes first: package consensus does.
//
// # Tests
//
// Tests of the rules stand beside the code. concurrency_test.go runs concurrent
// operators on a simulated cluster with faults; package testsupport/compat holds
// the stored and transmitted bytes as golden files.
package configuration
