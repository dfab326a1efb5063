// Package memorydisk is a consensus.Storage in memory, for tests of whatever keeps registers on
// a disk. It gives what package storage gives for the same records; it isn't safe for
// concurrent use, and what was written outlives the machine that wrote it.
package memorydisk
