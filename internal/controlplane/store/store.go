// Package store is the durable store: an acceptor, a proposer, the roll,
// and the keeper of the voter set, as one pure machine.
package store

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// Options are the options of a store.
type Options struct {
	membership.Options
	// StoreID is the id made with the data folder; Run counts its starts.
	StoreID   uint64
	RunNumber uint64
	Random    *rand.Rand
	Storage   consensus.Storage
	// Copies is how many stores keep each item, 3 or more.
	Replicas int
	// Bootstrap: the fleet starts for the first time, and blank seeds may found it.
	Bootstrap bool
}

// Store is the machine.
type Store struct {
	event.Outbox
	*membership.List
	*consensus.Acceptor
	*consensus.Proposer
	voterManager
	memberCache
	now ids.Time
	// owed is the oldest turn that the disk has not done, and since when.
	unsyncedBatches []unsyncedBatch
	diskStalled     bool
	// lossSeen and lossAt tell since when marks may have been lost.
	lossCount  uint64
	lossSeenAt ids.Time
}

type unsyncedBatch struct {
	number      uint64
	requestedAt ids.Time
}

// Ops are all the change functions that stores know.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	ops := consensus.VoterSetOps()
	for k, f := range configuration.Ops() {
		ops[k] = f
	}
	for k, f := range election.Ops() {
		ops[k] = f
	}
	for k, f := range idempotency.Ops() {
		ops[k] = f
	}
	return ops
}

// New makes a store on what its storage holds.
func New(options Options) *Store {
	s := &Store{}
	options.Self.Role, options.Self.Store = membership.Store, options.StoreID
	founders := options.Seeds
	options.Seeds = append(slices.Clone(options.Seeds), cachedAddresses(options.Storage, options.Self.Address)...)
	s.List = membership.New(options.Options, &s.Outbox)
	s.Acceptor = consensus.NewAcceptor(options.StoreID, options.Storage, &s.Outbox)
	s.SetRunID(options.RunNumber)
	s.Proposer = consensus.NewProposer(options.StoreID<<24|options.RunNumber&0xffffff, s.Acceptor.VoterSet, s.guardLostRecords(Ops()), options.Random, &s.Outbox)
	s.Proposer.IsReachable = s.isLive
	s.Proposer.Subscribers = s.subscribers
	s.voterManager = newVoterManager(founders)
	s.voterManager.replicas = options.Replicas
	s.bootstrap = loadBootstrapState(options.Storage, options.Bootstrap)
	return s
}

// ReplaceOps replaces change functions, so that tests can plant a defect.
func (s *Store) ReplaceOps(ops map[consensus.Op]consensus.ChangeFunc) { s.SetOps(ops) }

// isLive tells whether a store's daemon is up, by the roll.
func (s *Store) isLive(storeID uint64) bool {
	for _, m := range s.Live(membership.Store) {
		if m.Store == storeID {
			return m.Ready
		}
	}
	return false
}

// audience names who must hear of a new value at once.
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

// Step is the machine's one entrance.
func (s *Store) Step(now ids.Time, ev event.Event) []event.Command {
	s.now = now
	switch e := ev.(type) {
	case event.Received:
		s.RecordContact(now, e.From)
		s.receive(now, e.From, e.Msg)
	case event.Synced:
		s.Acceptor.Synced(e.Batch)
		for len(s.unsyncedBatches) > 0 && s.unsyncedBatches[0].number <= e.Batch {
			s.unsyncedBatches = s.unsyncedBatches[1:]
		}
	case RecoverRequest:
		s.handleRecoverRequest(now, e)
	case Leave:
		s.handleLeave(now, e)
	case event.Tick:
		// A disk that can't sync for a second must not claim health.
		stalled := len(s.unsyncedBatches) > 0 && now.Sub(s.unsyncedBatches[0].requestedAt) > time.Second
		if stalled != s.diskStalled {
			s.Log(event.LevelWarn, "disk", "stalled", map[bool]string{true: "yes", false: "no"}[stalled])
		}
		s.diskStalled = stalled
		s.UpdateSelf(!stalled && s.MayVote(), 0)
		s.List.Tick(now)
		s.Proposer.Tick(now)
		s.manageVoters(now)
		s.tickDeparture(now)
		s.tickLearner(now)
		s.retireIfDue()
		s.cacheMembersIfDue(now)
	}
	commands := s.Drain()
	for _, c := range commands {
		if sync, ok := c.(event.Sync); ok {
			s.unsyncedBatches = append(s.unsyncedBatches, unsyncedBatch{sync.Batch, now})
		}
	}
	return commands
}

func (s *Store) receive(now ids.Time, from ids.Address, msg any) {
	if s.diskStalled && needsDisk(msg) {
		// Others go on without this copy; what waited for its disk would be old.
		return
	}
	if reason := s.discardReason(from, msg); reason != "" {
		s.Discard(from, reason, msg)
		return
	}
	switch m := msg.(type) {
	case consensus.Prepare:
		s.HandlePrepare(from, m)
	case consensus.Accept:
		s.HandleAccept(from, m)
	case consensus.AcceptDifference:
		s.HandleAcceptDifference(from, m)
	case consensus.Promise:
		s.HandlePromise(now, m)
	case consensus.Accepted:
		s.HandleAccepted(now, m)
	case consensus.PageRequest:
		s.HandlePageRequest(from, m)
	case consensus.Request:
		// A proposer whose own disk is stuck would only hold the client up, and one
		// that was replaced knows nothing of late.
		if s.diskStalled || s.DiskState() == consensus.Replaced {
			s.Send(from, consensus.Response{ID: m.ID, Attempt: m.Attempt, Outcome: consensus.Rejected})
			return
		}
		s.Submit(now, from, m)
	case consensus.Response, consensus.VoterSetUpdate, consensus.Hello, consensus.Bootstrap, consensus.ConfigurationReply, consensus.PageResponse,
		consensus.BootstrapRequest, consensus.BootstrapResponse:
		s.receiveVoterMessage(now, from, msg)
	default:
		s.List.Receive(now, from, msg)
	}
}

// needsDisk tells whether a message can't be answered without the disk.
func needsDisk(msg any) bool {
	switch msg.(type) {
	case consensus.Prepare, consensus.Accept, consensus.AcceptDifference, consensus.PageRequest:
		return true
	}
	return false
}

// ask sends a request of the keeper's own to this very store.
func (s *Store) submitVoterSetRequest(op consensus.Op, arg any) {
	var raw []byte
	if arg != nil {
		raw, _ = wire.Encode(arg)
	}
	s.lastRequestID++
	s.Submit(s.now, s.Self.Address, consensus.Request{ID: s.lastRequestID, Key: consensus.VoterSetKey, Op: op, Arg: raw, TimeoutMillis: 2000})
}
