package ids

// Name is the name of an item that an operator configured: a service, a route or
// a zone.
type Name string

// DaemonID identifies one daemon (proxy, registry or store); it stays the same
// over restarts.
type DaemonID string

// InstanceID identifies one target process, as the process itself announces it.
type InstanceID string

// Address is an IP address and a port, such as 10.0.0.1:7400.
type Address string

// IdempotencyKey is the key by which a client marks the copies of one request that
// must not run twice.
type IdempotencyKey string

// ChangeID identifies a configuration change, so that a change that is sent again
// is recognized and gets the first result.
type ChangeID string

// RegisterKey is the key of a replicated register.
type RegisterKey string

// RunID identifies one run of a process, from its start to its end. It is random
// and never used twice.
type RunID uint64

// Incarnation orders the statements that a daemon makes about itself. It grows when
// the daemon restarts or refutes a suspicion (SWIM, Das et al. 2002).
type Incarnation uint64

// Sequence orders the heartbeats of one incarnation of a daemon or target.
type Sequence uint64

// StreamNumber counts the pushes sent along one connection.
type StreamNumber uint64

// Revision counts the accepted changes of the whole configuration. An item's
// version is the revision that last changed it.
type Revision uint64

// Epoch is a fencing token: it grows each time that a singleton role changes hands,
// so that messages of an earlier holder can be rejected.
type Epoch uint64

// RequestID identifies one client request within one run of one proxy.
type RequestID uint64
