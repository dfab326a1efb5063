// Package compat tests that the program's external formats stay compatible between versions: frames
// between processes, records on disk, JSON, flags and settings, metrics, and the data folders that
// earlier versions wrote.
//
// The package holds only tests. The expected output is in testdata. Running the tests with -update
// rewrites it, which is right only for an intended change of a format.
package compat
