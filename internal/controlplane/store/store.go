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

// Options are the options of a store.
type Options struct {
	membership.Options
	// StoreID is the id made with the data folder: a blank disk has a new one.
	StoreID uint64
	// RunNumber counts how often the data folder was opened. Together with StoreID
	// it makes the ballots of this run unlike those of any other.
	RunNumber uint64
	// Random spreads retries; it must not be shared with another machine.
	Random *rand.Rand
	// Storage is the disk as of the start; writes are returned by Step as event.Sync.
	Storage consensus.Storage
	// Replicas is how many voters there are to be, 3 or more. More than a voter set
	// has voters, it lets a standby join without another voter being lost.
	Replicas int
	// Bootstrap permits this store, while it is blank, to take part in forming the
	// first voter set. The permission is kept on the disk.
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

// New makes a store that continues from what its storage holds.
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

// proposerID names this run of this store in its ballots: 40 bits of the store's
// id above 24 bits of the run's number.
func proposerID(options Options) uint64 {
	return options.StoreID<<24 | options.RunNumber&0xffffff
}

// Ops returns the change functions of all registers that stores keep.
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

// ReplaceOps replaces the change functions, so that tests can plant a defect.
func (s *Store) ReplaceOps(ops map[consensus.Op]consensus.ChangeFunc) { s.SetOps(ops) }

// LocalValue returns this copy's own value of a register. It may be out of date:
// no majority was asked.
func (s *Store) LocalValue(key ids.RegisterKey) []byte {
	_, value := s.AcceptedValue(key)
	return value
}

// Step handles one event and returns the commands that follow from it.
func (s *Store) Step(now ids.Time, ev event.Event) []event.Command {
	s.now = now
	switch e := ev.(type) {
	case event.Received:
		s.RecordContact(now, e.From)
		s.receive(now, e.From, e.Message)
	case event.Synced:
		s.Acceptor.Synced(e.Batch)
		s.disk.synced(e.Batch)
	case RecoverRequest:
		s.handleRecoverRequest(now, e)
	case Leave:
		s.handleLeave(now, e)
	case event.Tick:
		s.tick(now)
	}
	commands := s.Drain()
	s.disk.requested(now, commands)
	return commands
}

// tick does what is due by the clock. The order of the calls is that of the
// messages they send.
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

// isLive reports whether a store is live and ready, by the membership list.
func (s *Store) isLive(storeID uint64) bool {
	for _, m := range s.Live(membership.Store) {
		if m.StoreID == storeID {
			return m.Ready
		}
	}
	return false
}

// subscribers returns who is told of a register's new value at once: the live
// registries, of the configuration.
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
