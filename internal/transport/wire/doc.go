// Package wire implements the binary format of messages between daemons and of records on
// disk. A frame consists of a fixed header (magic, version, flags, kind, length, epoch,
// number; big-endian) and a body, which holds the fields of a struct in order, without
// names.
//
// Each package registers its own message types with Register, under a number (Kind) that is
// unique in the module. The number and the order of a type's fields must never change.
//
// Invariants:
//   - Different versions interoperate during a rolling restart. Fields are only added at the
//     end of a struct. A reader skips fields that it doesn't know, and fields missing from
//     an older writer are zero. A message of an unknown kind isn't an error.
//   - Every length is checked before use, so that malformed input causes neither large
//     allocations nor panics (FuzzRead, FuzzDecode).
//
// The package opens no connections, which transport/process does, and interprets no
// messages. testsupport/compat compares the encoding of every kind with that of earlier
// releases.
package wire
