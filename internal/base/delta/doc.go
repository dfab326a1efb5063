// Package delta encodes a byte string as a delta against a similar one, and decodes it:
// Apply(base, Diff(base, next)) equals next. It doesn't interpret the bytes.
//
// Deltas are sent between daemons and stored on disk, so their format must not change:
//
//	uvarint length of the base, uint32 checksum of the base (CRC-32C, big-endian)
//	uvarint length of the result, uint32 checksum of the result
//	edits until the end: uvarint n, n bytes to insert, then uvarint offset and uvarint
//	length of the bytes to copy from the base
//
// Invariants: Apply returns either exactly the string passed to Diff, or an error. It
// never reads out of bounds, and memory that it allocates in advance is limited by the
// sizes of its inputs. The size of a delta depends on the size of the change, not on that
// of the strings.
package delta
