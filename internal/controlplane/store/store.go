package store

import (
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/state/idempotency"
)

// Options configure a store.
type Options struct {
	membership.Options
	// StoreID is the ID created with the data directory. An empty directory gets a new one.
	StoreID uint64
	// RunNumber counts how often the data directory was opened. Together with StoreID it
	// makes the ballots of this run unique.
	RunNumber uint64
	// Random is the source of retry jitter. It must not be shared with another state machine.
	Random *rand.Rand
	// Storage is the disk as of the start; writes are returned by Step as event.Sync.
	Storage consensus.Storage
	// Replicas is the target number of voters, at least 3. A standby may join without
	// replacing a voter while the voter set has fewer.
	Replicas int
	// Bootstrap permits this store, while it is blank, to take part in forming the
	// initial voter set. The permission is persisted.
	Bootstrap bool
}

// Store is the state machine of one store. Only Step changes it.
type Store struct {
	event.Outbox
	*membership.List
	*consensus.Acceptor
	*consensus.Proposer
	voterManager
	memberCache
	// now is the time of the current step.
	now         ids.Time
	disk        diskMonitor
	lostRecords lostRecordGuard
}

// New returns a store that continues from the contents of its storage.
func New(options Options) *Store {
	s := &Store{}
	options.Self.Role, options.Self.StoreID = membership.Store, options.StoreID
	bootstrapSeeds := options.Seeds
	options.Seeds = append(slices.Clone(options.Seeds), cachedAddresses(options.Storage, options.Self.Address)...)
	s.List = membership.New(options.Options, &s.Outbox)
	s.Acceptor = consensus.NewAcceptor(options.StoreID, options.Storage, &s.Outbox)
	s.SetRunID(options.RunNumber)
	s.Proposer = consensus.NewProposer(proposerID(options), s.Acceptor.VoterSet, s.guardLostRecords(Ops()), options.Random, &s.Outbox)
	s.Proposer.IsReachable = s.isLive
	s.Proposer.Subscribers = s.subscribers
	s.voterManager = newVoterManager(bootstrapSeeds)
	s.voterManager.replicas = options.Replicas
	s.bootstrap = loadBootstrapState(options.Storage, options.Bootstrap)
	return s
}

// proposerID returns the ID of this run of this store in its ballots: the low 40 bits of
// the store's ID above the low 24 bits of the run's number.
func proposerID(options Options) uint64 {
	return options.StoreID<<24 | options.RunNumber&0xffffff
}

// Ops returns the change functions of all replicated registers.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	ops := consensus.VoterSetOps()
	for op, change := range configuration.Ops() {
		ops[op] = change
	}
	for op, change := range election.Ops() {
		ops[op] = change
	}
	for op, change := range idempotency.Ops() {
		ops[op] = change
	}
	return ops
}

// ReplaceOps replaces the change functions, so that tests can inject faults.
func (s *Store) ReplaceOps(ops map[consensus.Op]consensus.ChangeFunc) { s.SetOps(ops) }

// LocalValue returns the value of a register in this store's own copy. It may be stale,
// since no quorum is read.
func (s *Store) LocalValue(key ids.RegisterKey) []byte {
	_, value := s.AcceptedValue(key)
	return value
}

// Step handles one event and returns the commands to execute for it.
func (s *Store) Step(now ids.Time, ev event.Event) []event.Command {
	s.now = now
	switch e := ev.(type) {
	case event.Received:
		s.RecordContact(now, e.From)
		s.receive(now, e.From, e.Message)
	case event.Synced:
		s.Acceptor.Synced(e.Batch)
		s.disk.removeSynced(e.Batch)
	case RecoverRequest:
		s.handleRecoverRequest(now, e)
	case Leave:
		s.handleLeave(now, e)
	case event.Tick:
		s.tick(now)
	}
	commands := s.Drain()
	s.disk.addPending(now, commands)
	return commands
}

// tick runs the periodic work. The order of the calls determines the order of the
// messages that they send.
func (s *Store) tick(now ids.Time) {
	s.updateDiskStalled(now)
	s.UpdateSelf(!s.disk.stalled && s.MayVote(), 0)
	s.List.Tick(now)
	s.Proposer.Tick(now)
	s.manageVoters(now)
	s.tickDeparture(now)
	s.tickLearner(now)
	s.retireIfDue()
	s.cacheMembersIfDue(now)
}

// isLive reports whether the membership list has a store as live and ready.
func (s *Store) isLive(storeID uint64) bool {
	for _, m := range s.Live(membership.Store) {
		if m.StoreID == storeID {
			return m.Ready
		}
	}
	return false
}

// subscribers returns the addresses to notify when a register changes: the live
// registries for the configuration, none for any other register.
func (s *Store) subscribers(key ids.RegisterKey) []ids.Address {
	if key != configuration.Key {
		return nil
	}
	var addresses []ids.Address
	for _, m := range s.Live(membership.Registry) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
