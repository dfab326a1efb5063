// Package ids defines the basic types that other packages share: names, identifiers,
// versions, times and ballots. They are distinct types, so that the compiler rejects one
// used in place of another.
//
// The package has no state and imports no other package of this module. The types are
// encoded with the width of their underlying type (transport/wire), which must therefore
// not change. There is no type for wall-clock time, which may jump and is used only in
// logs.
package ids
