// Package distribution pushes the configuration and the targets from a registry to the proxies.
//
// Pushes to a proxy are numbered, and the proxy acknowledges each by its number. The Distributor
// tracks for each proxy what was acknowledged and what is in flight, only sends the rest, and
// retransmits what was lost or wasn't acknowledged in time. The retry timeout adapts to the link.
//
// Invariants:
//   - A target only counts as acknowledged by a proxy if the proxy acknowledged a push that
//     contained it, from this run of the registry to this run of the proxy, or if the proxy's
//     digest showed that it has the same targets (ConfirmTargets).
//   - Pushes are idempotent and merged item by item, so that a push that is lost, duplicated or
//     reordered only causes a delay.
//   - A new run of a proxy is sent everything.
//
// The package does no I/O and reads no clock: commands go to the owner's event.Outbox, and the
// current time is passed in. It decides neither which configuration is in force nor how a proxy
// handles a push. A Distributor isn't safe for concurrent use.
//
// Unit tests are in this directory; delivery under faults is tested in
// internal/testsupport/simulator.
package distribution
