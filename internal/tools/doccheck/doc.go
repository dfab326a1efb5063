// Package doccheck checks this module's doc comments: every package and every exported
// item has one, and each comment, also of unexported items and in tests, begins with
// its item's name. The checks are the package's tests; other than them it holds
// nothing.
//
// Folders that aren't clean yet are listed in .ci/unclean-docs.txt (package ratchet).
package doccheck
