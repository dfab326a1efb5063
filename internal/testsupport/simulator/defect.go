package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/consensus"
)

// Defect is a mistake planted on purpose, to see that its checker bites.
type Defect struct {
	// Ops replace change functions.
	Ops map[consensus.Op]consensus.ChangeFunc
	// DiskForgets: a killed store loses half of what it had synced.
	DiskForgets bool
	// SyncLate: a store acts as if all was synced before the disk has it.
	SyncLate bool
	// BlankKeepsIdentity: a store whose disk was lost still counts as the one
	// that it was.
	BlankKeepsIdentity bool
	// DeadSeeds: new seeds name machines that don't exist.
	DeadSeeds bool
	// ResetIsUnsent: a request whose connection was reset counts as not sent.
	ResetIsUnsent bool
	// IdempotencyRetention is how long disks keep marks, if not for as long as they should.
	IdempotencyRetention time.Duration
	// NoCheck: connections are used without the target showing who it is.
	SkipIdentityCheck bool
	// CloseHeld: connections that clients hold are closed after each answer.
	CloseLongLived bool
	// Response spoils a proxy's answers.
	Response func(dispatch.Response) dispatch.Response
	// ControlLease is how long registries speak for the core by one agreement, if
	// not for as long as they should.
	ControlLease time.Duration
	// Confirm spoils what registries answer operators.
	Confirm func(registry.Response) registry.Response
	// Message spoils what is sent between daemons; false loses it.
	Message func(from, to string, msg any) (any, bool)
}
