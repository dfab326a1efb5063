// Package ids holds the small types that every other package uses: names,
// identifiers, versions, times and ballots. Each is a type of its own, so that the
// compiler keeps one from being passed for another.
//
// The package has no state and depends on nothing of this module. The types go over
// the wire and to disk at their underlying type's width (transport/wire), so that
// width must not change. Wall-clock time has no type here: it jumps, and appears in
// logs alone.
package ids
