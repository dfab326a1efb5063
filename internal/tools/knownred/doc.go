// Package knownred evaluates a test run against the list of tests that are known to fail
// (KNOWN-RED.txt). CI passes only if every failed test is listed, every listed test ran and failed,
// and every package ran to completion. A test that was fixed or no longer runs must therefore be
// removed from the list.
//
// The package reads the events of `go test -json`. It neither runs tests, which the command judge
// does, nor changes the list. Its tests are beside the code.
package knownred
