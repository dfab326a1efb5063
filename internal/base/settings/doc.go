// Package settings reads the options of a daemon at its start, from flags or from a
// JSON file, and checks all of them before anything runs. Flags win over the file.
//
// What changes while a daemon runs is configuration (state/configuration) and has no
// place here. The names of flags and of the file's keys are fixed by the name tags;
// testsupport/compat compares them with those of earlier releases.
package settings
