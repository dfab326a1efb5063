package registry

import (
	"maps"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// formatUint writes a number for a log entry or a warning.
func formatUint[T ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

// formatBool writes a truth value for a log entry.
func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// sortedNames gives the keys of a map in order, so that every run handles them in the same one.
func sortedNames[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }
