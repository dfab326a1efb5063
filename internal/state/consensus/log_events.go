package consensus

import "dunlinwell/internal/base/event"

// Log events of this package.
const (
	// EventRegisterUnreadable is logged as an error when a record on disk is damaged.
	// The store doesn't vote until it is restarted.
	EventRegisterUnreadable event.LogEvent = "register_unreadable"
	// EventRecordNotPersisted is logged as an error when a record can't be encoded. The
	// messages that depended on it aren't sent.
	EventRecordNotPersisted event.LogEvent = "record_not_persisted"
	// EventStoreReplaced is logged as an error when another store replaces this one in the
	// voter set. Its disk never votes again.
	EventStoreReplaced event.LogEvent = "store_replaced"
)
