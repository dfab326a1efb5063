// Package configuration holds the dynamic configuration of the load balancer:
// services, routes, zones and client limits, each with a version.
//
// # Job
//
// The whole configuration is one Document, stored as the value of one replicated
// register (Key). Operators change it through three operations of that register (Ops):
//
//   - Change creates, updates or removes items under a change ID (Document.Apply);
//   - Merge sets or removes items whose versions the caller assigns (Document.Merge);
//   - ZoneEvacuationRequest evacuates a zone or ends its evacuation (Document.SetZoneEvacuation).
//
// Daemons read a Document through a View, in which defaults are filled in. They receive
// either a whole Document or a delta (ChangesSince, Advance).
//
// # Invariants
//
//   - An operation is atomic, and a route never references a missing service. All items
//     share one register because both rules span items.
//   - The version of an item never decreases, even when the item is removed and
//     recreated.
//   - A version or a change ID identifies one content. A duplicate of an accepted
//     request is acknowledged again or has an unknown outcome; it is never rejected and
//     never applied twice. A duplicate of a rejected request is never accepted
//     (docs/control/resent.md).
//   - A Document is immutable once it was returned to a caller; operations return a
//     new one that shares unchanged data with it.
//   - Encode writes the same bytes as json.Marshal, since stores compare and hash
//     register values as bytes.
//
// # What it never does
//
// It performs no I/O, reads no clock and starts no goroutines. It doesn't order
// concurrent operations: package consensus does.
//
// # Tests
//
// Unit tests are in this package. concurrency_test.go runs concurrent operators on a
// simulated cluster with faults. Package testsupport/compat has golden files of the
// stored and transmitted bytes.
package configuration
