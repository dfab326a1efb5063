// Package api is the control API: HTTP/1.1 and JSON under /v1. The Server of a
// registry answers it; every other daemon has a Forwarder that hands calls on to a
// registry, so that an operator may talk to any daemon.
//
// Invariants:
//   - each call gets one answer, also when the registry's machine gives none in time. A
//     change whose end isn't known is answered 504, never 503: 503 says that it had no
//     effect.
//   - each change has an id (Change-Id) before it leaves a daemon, so that a copy that
//     is sent again is recognized and applied once.
//   - bodies are bounded before they are read.
//
// The package checks the form of calls only; what a change may do is decided in
// state/configuration and controlplane/registry. docs/http.md describes the calls;
// testsupport/compat compares the answers with those of earlier releases.
package api
