package consensus

import "dunlinwell/internal/base/event"

// Log events of this package.
const (
	// EventRegisterUnreadable is logged as an error when a record on disk is damaged.
	// The store takes no part in any vote for the rest of its run.
	EventRegisterUnreadable event.LogEvent = "register_unreadable"
	// EventRecordNotPersisted is logged as an error when a record can't be encoded. What
	// depended on it was not answered.
	EventRecordNotPersisted event.LogEvent = "record_not_persisted"
	// EventStoreReplaced is logged as an error when another store takes this one's place
	// in the voter set. Its disk never votes again.
	EventStoreReplaced event.LogEvent = "store_replaced"
)
