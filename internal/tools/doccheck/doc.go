// Package doccheck checks this module's doc comments. Every package and every exported item must
// have one, and each doc comment, including those of unexported items and in test files, must begin
// with the item's name. The package holds only tests, which run the checks.
//
// Folders that don't pass yet are listed in .ci/unclean-docs.txt (package ratchet).
package doccheck
