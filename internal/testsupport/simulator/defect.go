package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/consensus"
)

// Defect is a set of planted defects, with which tests verify that the checker detects them. The
// zero value has none.
type Defect struct {
	// ReplacedOps replaces change functions of the registers.
	ReplacedOps map[consensus.Op]consensus.ChangeFunc
	// LoseSyncedRecords makes a killed store lose half of its synced records.
	LoseSyncedRecords bool
	// AcknowledgeBeforeSync makes a store act as if its records were synced before they are on the
	// disk.
	AcknowledgeBeforeSync bool
	// KeepStoreIDOnDiskLoss makes a store whose disk was lost keep its store ID.
	KeepStoreIDOnDiskLoss bool
	// UnreachableSeeds makes new seeds name addresses without a process.
	UnreachableSeeds bool
	// ReportResetAsNotSent makes proxies report a request whose connection was reset as not sent.
	ReportResetAsNotSent bool
	// IdempotencyRetention, if set, is how long disks keep idempotency records.
	IdempotencyRetention time.Duration
	// SkipIdentityCheck makes proxies send requests without verifying the identity of the target.
	SkipIdentityCheck bool
	// CloseLongLivedConnections makes proxies close long-lived connections after each response.
	CloseLongLivedConnections bool
	// IgnoreClientDisconnects makes proxies ignore client disconnects.
	IgnoreClientDisconnects bool
	// AlterResponse, if set, alters the responses of proxies to clients.
	AlterResponse func(dispatch.Response) dispatch.Response
	// ControlLease, if set, is the duration of the lease under which a registry answers for the
	// core.
	ControlLease time.Duration
	// AlterConfirmation, if set, alters the responses of registries to operators.
	AlterConfirmation func(registry.Response) registry.Response
	// AlterMessage, if set, alters messages between daemons; the message is dropped if it returns
	// false.
	AlterMessage func(from, to string, msg any) (any, bool)
}
