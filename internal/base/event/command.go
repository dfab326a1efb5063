package event

import "dunlinwell/internal/base/ids"

// Send asks for a message to be sent to a peer. It may be lost; the sender repeats
// what must arrive.
type Send struct {
	To      ids.Address
	Message any
}

// Record is a change of one key on disk.
type Record struct {
	Key   ids.RegisterKey
	Value []byte
	// Delete asks for the key to be removed; Value is then ignored.
	Delete bool
}

// Sync asks for records to be synced to disk, and only then for the commands in
// After to be executed. Batches complete in the order in which they were asked for,
// so one without records still waits for those before it.
type Sync struct {
	// Batch is the number that Synced gives back; it grows with each Sync.
	Batch   uint64
	Records []Record
	After   []Command
}
