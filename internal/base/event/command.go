package event

import "dunlinwell/internal/base/ids"

// Send is the command to send a message to a peer. Delivery isn't guaranteed; the state
// machine resends where needed.
type Send struct {
	To      ids.Address
	Message any
}

// Record is a write to, or the deletion of, one key on disk.
type Record struct {
	Key   ids.RegisterKey
	Value []byte
	// Delete removes the key; Value is then ignored.
	Delete bool
}

// Sync is the command to write and sync records to disk, and then to execute the commands
// in After. Batches complete in the order in which they were emitted, so a batch without
// records still waits for earlier ones.
type Sync struct {
	// Batch is the number that Synced returns; it increases with each Sync.
	Batch   uint64
	Records []Record
	After   []Command
}
