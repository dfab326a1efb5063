// Package ratchet compares the findings of a check with the list of folders that still fail it. A
// finding in a folder that isn't listed is an error, and so is a listed folder without findings.
// Clean folders thus stay clean, and the list only shrinks.
//
// The package reads lists (.ci/unclean-*.txt) and compares; it runs no check itself. Its users are
// the command lint, for golangci-lint, and the tests of package doccheck, for doc comments. Its
// tests are beside the code.
package ratchet
