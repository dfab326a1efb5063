// Package ratchet compares what a check found with the list of folders that aren't
// clean yet. A finding in a folder that isn't listed is a complaint, and so is a listed
// folder without findings; so a clean folder stays clean, and a list only shrinks.
//
// It reads lists (.ci/unclean-*.txt) and compares; it runs no check itself. The command
// lint does so for golangci-lint, the tests of doccheck for doc comments.
package ratchet
