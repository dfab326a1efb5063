// Package settings reads a daemon's options at startup, from flags or a JSON file, and
// validates all of them before the daemon starts. Flags take precedence over the file.
//
// Anything that changes while a daemon runs belongs to the configuration
// (state/configuration) instead. The names of flags and of keys of the file are fixed by
// the name tags; testsupport/compat compares them with those of earlier releases.
package settings
