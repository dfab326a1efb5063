// Package memorydisk is an in-memory implementation of consensus.Storage for tests. It returns the
// same results as package storage for the same records. It isn't safe for concurrent use. A Disk
// keeps its records when the simulated machine that wrote them restarts.
package memorydisk
