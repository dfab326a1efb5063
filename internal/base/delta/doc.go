// Package delta computes the difference between two byte strings, and applies it:
// Apply(base, Diff(base, next)) is next, byte for byte. It doesn't know what the
// bytes mean.
//
// A difference is sent between daemons and written to disk, so its format is fixed:
//
//	uvarint length of the base, uint32 checksum of the base (CRC-32C, big-endian)
//	uvarint length of the result, uint32 checksum of the result
//	edits, until the end: uvarint n, n new bytes, uvarint offset and uvarint length
//	of a run of the base's bytes to copy
//
// Invariants: Apply either gives exactly the string that Diff was given, or an error;
// it never reads beyond either string, and allocates no more than they can fill. The
// size of a difference follows the size of the change, not that of the strings.
package delta
