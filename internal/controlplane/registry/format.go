package registry

import (
	"maps"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// formatUint formats a number for a log entry or a warning.
func formatUint[T ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

// formatBool formats a boolean for a log entry.
func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// sortedNames returns the sorted keys of a map, for a deterministic order of iteration.
func sortedNames[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }
