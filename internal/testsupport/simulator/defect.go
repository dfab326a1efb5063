package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/consensus"
)

// Defect is a planted defect, by which a test shows that its checker finds the mistake. The zero
// value has none.
type Defect struct {
	// Ops replace change functions of the registers.
	Ops map[consensus.Op]consensus.ChangeFunc
	// DiskForgets: a killed store loses half of what it had synced.
	DiskForgets bool
	// SyncLate: a store goes on as if its records were synced before the disk has them.
	SyncLate bool
	// BlankKeepsIdentity: a store whose disk was lost keeps its store id.
	BlankKeepsIdentity bool
	// DeadSeeds: new seeds name machines that don't exist.
	DeadSeeds bool
	// ResetIsUnsent: a request whose connection was reset counts as not sent.
	ResetIsUnsent bool
	// IdempotencyRetention, if set, is for how long disks keep idempotency records.
	IdempotencyRetention time.Duration
	// SkipIdentityCheck: requests are sent without verifying the identity of the target.
	SkipIdentityCheck bool
	// CloseLongLived: long-lived connections are closed after each response.
	CloseLongLived bool
	// DeafToDepartures: proxies don't notice that a client has left.
	DeafToDepartures bool
	// Response, if set, alters what proxies respond to clients.
	Response func(dispatch.Response) dispatch.Response
	// ControlLease, if set, is the duration of the lease under which a registry speaks
	// for the core.
	ControlLease time.Duration
	// Confirm, if set, alters what registries respond to operators.
	Confirm func(registry.Response) registry.Response
	// Message, if set, alters messages between daemons; false loses one.
	Message func(from, to string, msg any) (any, bool)
}
