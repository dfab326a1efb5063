// Package errs adds context to errors: the step that failed and, optionally, its subject,
// such as the address of a peer, a file or a key.
//
// An error that callers handle is a sentinel (ErrX, created with errors.New) or a type of
// the package that returns it. It is wrapped here and matched with errors.Is or errors.As,
// never by its text:
//
//	var ErrWrongBase = errors.New("delta does not match the base")
//
//	return errs.Wrap(ErrWrongBase, "apply delta", "")
//	return errs.New("apply delta", peer, "%w: %d bytes", ErrWrongBase, n)
//
//	if errors.Is(err, delta.ErrWrongBase) { ... }
//
// Invariants: Wrap of a nil error is nil. errors.Is and errors.As work through every
// layer, including the source location that Wrap records. The package never logs and never
// handles errors.
package errs
