// Package errs adds context to errors: the step that failed and, where there is
// one, the peer it failed with.
//
// A cause that a caller acts on is a sentinel (ErrX, made with errors.New) or a type
// of the package that returns it. It is wrapped here and matched with errors.Is or
// errors.As, never by its text:
//
//	var ErrWrongBase = errors.New("made for another base")
//
//	return errs.Wrap(ErrWrongBase, "apply difference", "")
//	return errs.New("apply difference", peer, "%w: %d bytes", ErrWrongBase, n)
//
//	if errors.Is(err, delta.ErrWrongBase) { ... }
//
// Invariants: a nil error stays nil; errors.Is and errors.As see through every
// layer, including the trace that records where the error was wrapped. The package
// never logs and never decides what an error means.
package errs
