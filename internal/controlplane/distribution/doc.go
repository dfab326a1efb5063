// Package distribution pushes the configuration and the targets from a registry to
// the proxies.
//
// Pushes to one proxy are numbered, and the proxy acknowledges each by its number. The
// Distributor tracks for each proxy what was acknowledged and what is in flight, sends
// only what is neither, and sends again what was lost or wasn't acknowledged in time.
// The retry time-out adapts to the link.
//
// Invariants:
//   - A target counts as acknowledged by a proxy only if the proxy acknowledged a push
//     of this run of the registry, to this run of the proxy, that held it; or if the
//     proxy showed by its digest that it has the same targets (ConfirmTargets).
//   - Pushes are idempotent and merge item by item, so that one that is lost, repeated or
//     overtaken costs time and nothing else.
//   - A proxy's new run starts from nothing: it is sent everything.
//
// The package does no input or output and reads no clock: commands go to the owner's
// event.Outbox, and time is handed in. It decides neither what is in force nor what a
// proxy does with a push. A Distributor isn't safe for concurrent use.
//
// Unit tests are beside the code; delivery under faults is tested in
// internal/testsupport/simulator.
package distribution
