// Package compat holds the tests that keep what leaves the program the same
// from one version to the next: the frames sent between processes, the records
// on disk, the answers in JSON, the settings and the folders that an earlier
// version wrote. The expected bytes stand in testdata; running the tests with
// -update writes them anew, which is right only when a format is meant to
// change.
package compat
