package ids

// Name is the name of a configuration item: a service, a route or a zone.
type Name string

// DaemonID identifies a daemon (proxy, registry or store) across restarts.
type DaemonID string

// InstanceID identifies one target process. The process chooses it and announces it.
type InstanceID string

// Address is an IP address and a port, such as 10.0.0.1:7400.
type Address string

// IdempotencyKey is set by a client on all copies of a request that must be executed at
// most once.
type IdempotencyKey string

// ChangeID identifies a configuration change. A change that is sent again gets the result
// of the first submission.
type ChangeID string

// RegisterKey is the key of a replicated register.
type RegisterKey string

// RunID identifies one run of a process, from its start to its exit. It is random and
// never reused.
type RunID uint64

// Incarnation is the SWIM incarnation number of a daemon or target (Das et al. 2002). It
// increases when a daemon restarts or refutes a suspicion.
type Incarnation uint64

// Sequence orders the heartbeats of one incarnation of a daemon or target.
type Sequence uint64

// StreamNumber is the sequence number of a message within a stream, such as a registry's
// pushes to one proxy.
type StreamNumber uint64

// Revision is the number of accepted changes of the whole configuration. An item's version
// is the revision that last changed it.
type Revision uint64

// Epoch is a fencing token. It increases each time that a singleton role gets a new
// holder, so that messages of a former holder can be rejected.
type Epoch uint64

// RequestID identifies one client request within one run of one proxy.
type RequestID uint64
