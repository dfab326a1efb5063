// Package api implements the control API: HTTP/1.1 and JSON under /v1. A registry answers
// calls with a Server; every other daemon forwards them to a registry with a Forwarder, so
// that operators can talk to any daemon.
//
// Invariants:
//   - each call gets one answer, even if the registry's state machine doesn't respond in
//     time. A change whose outcome is unknown is answered with 504, never with 503, which
//     means that the change had no effect.
//   - each change has an ID (Change-Id) before it leaves a daemon, so that a retried copy
//     is recognized and applied once.
//   - the size of a body is limited while it is read.
//
// The package validates only the syntax of calls; changes are validated in
// state/configuration and controlplane/registry. docs/http.md describes the calls;
// testsupport/compat compares the answers with those of earlier releases.
package api
