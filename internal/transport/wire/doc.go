// Package wire is the format of the messages between daemons, and of the records
// that they write to disk. A frame is a fixed header (magic, version, flags, kind,
// length, epoch, number; big-endian) and a body: the fields of a struct in their
// order, without names.
//
// Each package registers its own message types under the numbers of the registry of
// kinds (Register). A number and the order of a type's fields never change.
//
// Invariants:
//   - versions mix during a rolling restart: fields are only ever added at the end of
//     a struct; a reader skips those it doesn't know, and leaves those that an older
//     writer lacks at zero. A message of an unknown kind is no error.
//   - every length is checked before it is used, so that no input costs more memory
//     than its bytes, and none panics (FuzzRead, FuzzDecode).
//
// The package opens no connections (transport/process does) and interprets no
// message. testsupport/compat compares the bytes of every kind with those of earlier
// releases.
package wire
