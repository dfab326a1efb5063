package compat

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/process"
)

// messages holds a value of every exported message type, with its fields set by name. Values filled
// by position would not show that two fields of the same type were swapped.
var messages = []any{
	process.Hello{
		Address: "text-1", AcceptsDeflated: false,
	},
	membership.Heartbeat{
		Self:   membership.Member{ID: "text-1", Role: 2, Address: "text-3", HTTPAddress: "text-4", Zone: "text-5", RunID: 4294967302, Incarnation: 4294967303, Sequence: 4294967304, Dead: true, Ready: false, Revision: 4294967307, StoreID: 4294967308, ClientListen: "text-13"},
		Digest: 4294967310,
	},
	membership.Snapshot{
		Members: []membership.Member{{ID: "text-1", Role: 2, Address: "text-3", HTTPAddress: "text-4", Zone: "text-5", RunID: 4294967302, Incarnation: 4294967303, Sequence: 4294967304, Dead: true, Ready: false, Revision: 4294967307, StoreID: 4294967308, ClientListen: "text-13"}, {ID: "text-14", Role: 15, Address: "text-16", HTTPAddress: "text-17", Zone: "text-18", RunID: 4294967315, Incarnation: 4294967316, Sequence: 4294967317, Dead: false, Ready: true, Revision: 4294967320, StoreID: 4294967321, ClientListen: "text-26"}},
		Final:   true,
	},
	membership.Suspect{
		Watcher: "text-1", Member: "text-2", Incarnation: 4294967299, SilenceMillis: 65540,
	},
	membership.Digest{
		Parts: []uint64{4294967297, 4294967298},
	},
	membership.Delta{
		Parts:   []uint16{257, 258},
		Members: []membership.Member{{ID: "text-3", Role: 4, Address: "text-5", HTTPAddress: "text-6", Zone: "text-7", RunID: 4294967304, Incarnation: 4294967305, Sequence: 4294967306, Dead: true, Ready: false, Revision: 4294967309, StoreID: 4294967310, ClientListen: "text-15"}, {ID: "text-16", Role: 17, Address: "text-18", HTTPAddress: "text-19", Zone: "text-20", RunID: 4294967317, Incarnation: 4294967318, Sequence: 4294967319, Dead: false, Ready: true, Revision: 4294967322, StoreID: 4294967323, ClientListen: "text-28"}},
		Final:   true,
	},
	membership.Probe{
		ID: "text-1",
	},
	membership.ProbeReply{
		Self: membership.Member{ID: "text-1", Role: 2, Address: "text-3", HTTPAddress: "text-4", Zone: "text-5", RunID: 4294967302, Incarnation: 4294967303, Sequence: 4294967304, Dead: true, Ready: false, Revision: 4294967307, StoreID: 4294967308, ClientListen: "text-13"},
	},
	membership.Withdraw{
		Watcher: "text-1", Member: "text-2",
	},
	consensus.Prepare{
		Key: "text-1", Ballot: ids.Ballot{Counter: 4294967298, Proposer: 4294967299}, VoterSetNumber: 4294967300, Round: 4294967301, ReadOnly: false,
		KnownBallot: ids.Ballot{Counter: 4294967303, Proposer: 4294967304},
	},
	consensus.Promise{
		Key: "text-1", Store: 4294967298, Round: 4294967299, VoterSetNumber: 4294967300,
		Promised: ids.Ballot{Counter: 4294967301, Proposer: 4294967302}, Accepted: ids.Ballot{Counter: 4294967303, Proposer: 4294967304},
		Value: []uint8{9, 10}, MatchesKnown: true, SupportsDeltas: false,
	},
	consensus.Accept{
		Key: "text-1", Ballot: ids.Ballot{Counter: 4294967298, Proposer: 4294967299}, NextBallot: ids.Ballot{Counter: 4294967300, Proposer: 4294967301},
		VoterSetNumber: 4294967302, Round: 4294967303, Value: []uint8{8, 9}, FirstValue: false,
	},
	consensus.Accepted{
		Key: "text-1", Store: 4294967298, Round: 4294967299, VoterSetNumber: 4294967300, OK: true,
		Promised: ids.Ballot{Counter: 4294967302, Proposer: 4294967303}, SupportsDeltas: false, NeedsFullValue: true,
	},
	consensus.VoterSetUpdate{
		VoterSet: consensus.VoterSet{Number: 4294967297, Voters: []consensus.Voter{{ID: 4294967298, Address: "text-3"}, {ID: 4294967300, Address: "text-5"}}, Incoming: []consensus.Voter{{ID: 4294967302, Address: "text-7"}, {ID: 4294967304, Address: "text-9"}}, LossCount: 4294967306, Learners: []uint64{4294967307, 4294967308}, Previous: []consensus.Voter{{ID: 4294967309, Address: "text-14"}, {ID: 4294967311, Address: "text-16"}}},
	},
	consensus.Request{
		ID: 4294967297, Key: "text-2", Op: 3, Arg: []uint8{4, 5}, TimeoutMillis: 65542, Attempt: 65543, KnownChecksum: 4294967304,
	},
	consensus.Response{
		ID: 4294967297, Outcome: 2, Result: []uint8{3, 4}, Attempt: 65541, Unchanged: false,
	},
	consensus.PageRequest{
		VoterSetNumber: 4294967297, AfterKey: "text-2", PageNumber: 4294967299, RunID: 4294967300, SinceChange: 4294967301,
	},
	consensus.PageResponse{
		Store: 4294967297, VoterSetNumber: 4294967298, PageNumber: 4294967299,
		Records: []consensus.PageRecord{{Key: "text-4", Accepted: ids.Ballot{Counter: 4294967301, Proposer: 4294967302}, Value: []uint8{7, 8}}, {Key: "text-9", Accepted: ids.Ballot{Counter: 4294967306, Proposer: 4294967307}, Value: []uint8{12, 13}}},
		Last:    false, RunID: 4294967311, ChangeCount: 4294967312, Delta: true,
	},
	consensus.Hello{
		Store: consensus.Voter{ID: 4294967297, Address: "text-2"}, Blank: true, VoterSetNumber: 4294967300, IsReply: true, HasCopied: false,
	},
	consensus.Bootstrap{
		VoterSet:      consensus.VoterSet{Number: 4294967297, Voters: []consensus.Voter{{ID: 4294967298, Address: "text-3"}, {ID: 4294967300, Address: "text-5"}}, Incoming: []consensus.Voter{{ID: 4294967302, Address: "text-7"}, {ID: 4294967304, Address: "text-9"}}, LossCount: 4294967306, Learners: []uint64{4294967307, 4294967308}, Previous: []consensus.Voter{{ID: 4294967309, Address: "text-14"}, {ID: 4294967311, Address: "text-16"}}},
		Configuration: []uint8{17, 18}, Round: 4294967315,
	},
	consensus.ConfigurationQuery{},
	consensus.ConfigurationReply{
		Revision: 4294967297, Configuration: []uint8{2, 3},
	},
	consensus.Chosen{
		Key: "text-1", Value: []uint8{2, 3},
	},
	consensus.AcceptDelta{
		Key: "text-1", Ballot: ids.Ballot{Counter: 4294967298, Proposer: 4294967299}, NextBallot: ids.Ballot{Counter: 4294967300, Proposer: 4294967301},
		VoterSetNumber: 4294967302, Round: 4294967303, BaseBallot: ids.Ballot{Counter: 4294967304, Proposer: 4294967305}, Delta: []uint8{10, 11},
	},
	consensus.ChosenDelta{
		Key: "text-1", Delta: []uint8{2, 3},
	},
	consensus.BootstrapRequest{
		Round:    4294967297,
		VoterSet: consensus.VoterSet{Number: 4294967298, Voters: []consensus.Voter{{ID: 4294967299, Address: "text-4"}, {ID: 4294967301, Address: "text-6"}}, Incoming: []consensus.Voter{{ID: 4294967303, Address: "text-8"}, {ID: 4294967305, Address: "text-10"}}, LossCount: 4294967307, Learners: []uint64{4294967308, 4294967309}, Previous: []consensus.Voter{{ID: 4294967310, Address: "text-15"}, {ID: 4294967312, Address: "text-17"}}},
	},
	consensus.BootstrapResponse{
		Round:    4294967297,
		VoterSet: consensus.VoterSet{Number: 4294967298, Voters: []consensus.Voter{{ID: 4294967299, Address: "text-4"}, {ID: 4294967301, Address: "text-6"}}, Incoming: []consensus.Voter{{ID: 4294967303, Address: "text-8"}, {ID: 4294967305, Address: "text-10"}}, LossCount: 4294967307, Learners: []uint64{4294967308, 4294967309}, Previous: []consensus.Voter{{ID: 4294967310, Address: "text-15"}, {ID: 4294967312, Address: "text-17"}}},
		Store:    4294967314, Rejection: "text-19", PromisedRound: 4294967316,
	},
	consensus.RegisterState{
		Promised: ids.Ballot{Counter: 4294967297, Proposer: 4294967298}, Accepted: ids.Ballot{Counter: 4294967299, Proposer: 4294967300},
		Value: []uint8{5, 6},
	},
	consensus.VoterSet{
		Number:    4294967297,
		Voters:    []consensus.Voter{{ID: 4294967298, Address: "text-3"}, {ID: 4294967300, Address: "text-5"}},
		Incoming:  []consensus.Voter{{ID: 4294967302, Address: "text-7"}, {ID: 4294967304, Address: "text-9"}},
		LossCount: 4294967306, Learners: []uint64{4294967307, 4294967308},
		Previous: []consensus.Voter{{ID: 4294967309, Address: "text-14"}, {ID: 4294967311, Address: "text-16"}},
	},
	consensus.JoinRequest{
		New: consensus.Voter{ID: 4294967297, Address: "text-2"}, LostID: 4294967299, Replicas: 4294967300,
	},
	consensus.VoterSetNumber{
		Number: 4294967297,
	},
	consensus.ReplaceRequest{
		New: consensus.Voter{ID: 4294967297, Address: "text-2"}, LostID: 4294967299, Replicas: 4294967300,
	},
	consensus.PromoteLearnerRequest{
		ID: 4294967297,
	},
	consensus.BootstrapRecord{
		Round:             4294967297,
		PromisedVoterSets: []consensus.VoterSet{{Number: 4294967298, Voters: []consensus.Voter{{ID: 4294967299, Address: "text-4"}, {ID: 4294967301, Address: "text-6"}}, Incoming: []consensus.Voter{{ID: 4294967303, Address: "text-8"}, {ID: 4294967305, Address: "text-10"}}, LossCount: 4294967307, Learners: []uint64{4294967308, 4294967309}, Previous: []consensus.Voter{{ID: 4294967310, Address: "text-15"}, {ID: 4294967312, Address: "text-17"}}}, {Number: 4294967314, Voters: []consensus.Voter{{ID: 4294967315, Address: "text-20"}, {ID: 4294967317, Address: "text-22"}}, Incoming: []consensus.Voter{{ID: 4294967319, Address: "text-24"}, {ID: 4294967321, Address: "text-26"}}, LossCount: 4294967323, Learners: []uint64{4294967324, 4294967325}, Previous: []consensus.Voter{{ID: 4294967326, Address: "text-31"}, {ID: 4294967328, Address: "text-33"}}}},
		ExistingCluster:   "text-34",
	},
	election.Term{
		Epoch: 4294967297, Holder: "text-2", RunID: 4294967299,
	},
	idempotency.Record{
		State: 1, Owner: idempotency.Owner{Daemon: "text-2", RunID: 4294967299, Request: 4294967300}, Attempt: 65541,
		Fingerprint: []uint8{6, 7}, MinAttempt: 65544,
		ReleasedOwners:      []idempotency.Owner{{Daemon: "text-9", RunID: 4294967306, Request: 4294967307}, {Daemon: "text-12", RunID: 4294967309, Request: 4294967310}},
		Response:            idempotency.Response{Status: 271, Header: []idempotency.Header{{Name: "text-16", Value: "text-17"}, {Name: "text-18", Value: "text-19"}}, Body: []uint8{20, 21}, Digest: "text-22", BodyOmitted: true},
		LastAssignedAttempt: 65560,
	},
	idempotency.Operation{
		Owner: idempotency.Owner{Daemon: "text-1", RunID: 4294967298, Request: 4294967299}, Attempt: 65540, Fingerprint: []uint8{5, 6},
		Response: idempotency.Response{Status: 263, Header: []idempotency.Header{{Name: "text-8", Value: "text-9"}, {Name: "text-10", Value: "text-11"}}, Body: []uint8{12, 13}, Digest: "text-14", BodyOmitted: true},
	},
	idempotency.Result{
		Verdict: 1,
		Record:  idempotency.Record{State: 2, Owner: idempotency.Owner{Daemon: "text-3", RunID: 4294967300, Request: 4294967301}, Attempt: 65542, Fingerprint: []uint8{7, 8}, MinAttempt: 65545, ReleasedOwners: []idempotency.Owner{{Daemon: "text-10", RunID: 4294967307, Request: 4294967308}, {Daemon: "text-13", RunID: 4294967310, Request: 4294967311}}, Response: idempotency.Response{Status: 272, Header: []idempotency.Header{{Name: "text-17", Value: "text-18"}, {Name: "text-19", Value: "text-20"}}, Body: []uint8{21, 22}, Digest: "text-23", BodyOmitted: false}, LastAssignedAttempt: 65561},
	},
	targets.Update{
		Targets: []targets.Target{{Instance: "text-1", Incarnation: 4294967298, Sequence: 4294967299, Service: "text-4", Address: "text-5", Zone: "text-6", Draining: true, Dead: false, Warmth: 9.5, Occupancy: 4294967306, Capacity: 4294967307, IntervalMillis: 65548, AgeMillis: 4294967309, SlowStartMillis: 4294967310, Registrar: "text-15", RegistrarRunID: 4294967312, ProxySequence: 4294967313}, {Instance: "text-18", Incarnation: 4294967315, Sequence: 4294967316, Service: "text-21", Address: "text-22", Zone: "text-23", Draining: false, Dead: true, Warmth: 26.5, Occupancy: 4294967323, Capacity: 4294967324, IntervalMillis: 65565, AgeMillis: 4294967326, SlowStartMillis: 4294967327, Registrar: "text-32", RegistrarRunID: 4294967329, ProxySequence: 4294967330}},
	},
	registry.PeerHeartbeat{
		ID: "text-1", RunID: 4294967298, QuorumReadAgeMillis: 65539, TargetsDigest: 4294967300, Number: 4294967301,
	},
	registry.DepartureNotice{
		Requester: "text-1",
		Target:    targets.Target{Instance: "text-2", Incarnation: 4294967299, Sequence: 4294967300, Service: "text-5", Address: "text-6", Zone: "text-7", Draining: false, Dead: true, Warmth: 10.5, Occupancy: 4294967307, Capacity: 4294967308, IntervalMillis: 65549, AgeMillis: 4294967310, SlowStartMillis: 4294967311, Registrar: "text-16", RegistrarRunID: 4294967313, ProxySequence: 4294967314},
	},
	registry.DepartureAck{
		ID: "text-1", Instance: "text-2", Sequence: 4294967299, Incarnation: 4294967300,
	},
	registry.TableDigest{
		Parts: []uint64{4294967297, 4294967298},
	},
	distribution.Push{
		Number: 4294967297, Epoch: 4294967298, RunID: 4294967299, Revision: 4294967300, Configuration: []uint8{5, 6},
		Targets:       []targets.Target{{Instance: "text-7", Incarnation: 4294967304, Sequence: 4294967305, Service: "text-10", Address: "text-11", Zone: "text-12", Draining: true, Dead: false, Warmth: 15.5, Occupancy: 4294967312, Capacity: 4294967313, IntervalMillis: 65554, AgeMillis: 4294967315, SlowStartMillis: 4294967316, Registrar: "text-21", RegistrarRunID: 4294967318, ProxySequence: 4294967319}, {Instance: "text-24", Incarnation: 4294967321, Sequence: 4294967322, Service: "text-27", Address: "text-28", Zone: "text-29", Draining: false, Dead: true, Warmth: 32.5, Occupancy: 4294967329, Capacity: 4294967330, IntervalMillis: 65571, AgeMillis: 4294967332, SlowStartMillis: 4294967333, Registrar: "text-38", RegistrarRunID: 4294967335, ProxySequence: 4294967336}},
		ReadAgeMillis: 65577, EchoedTime: 4294967338, ProxyRunID: 4294967339,
	},
	distribution.Ack{
		Proxy: "text-1", RunID: 4294967298, Number: 4294967299, Revision: 4294967300, Now: 4294967301, TargetsDigest: 4294967302,
	},
	proxy.LeaseRequest{
		Proxy: "text-1", RunID: 4294967298, Revision: 4294967299, Now: 4294967300,
	},
	proxy.LeaseGossip{
		ProxyRunID: 4294967297, EchoedTime: 4294967298, Revision: 4294967299, Configuration: []uint8{4, 5},
		Targets:                []targets.Target{{Instance: "text-6", Incarnation: 4294967303, Sequence: 4294967304, Service: "text-9", Address: "text-10", Zone: "text-11", Draining: false, Dead: true, Warmth: 14.5, Occupancy: 4294967311, Capacity: 4294967312, IntervalMillis: 65553, AgeMillis: 4294967314, SlowStartMillis: 4294967315, Registrar: "text-20", RegistrarRunID: 4294967317, ProxySequence: 4294967318}, {Instance: "text-23", Incarnation: 4294967320, Sequence: 4294967321, Service: "text-26", Address: "text-27", Zone: "text-28", Draining: true, Dead: false, Warmth: 31.5, Occupancy: 4294967328, Capacity: 4294967329, IntervalMillis: 65570, AgeMillis: 4294967331, SlowStartMillis: 4294967332, Registrar: "text-37", RegistrarRunID: 4294967334, ProxySequence: 4294967335}},
		ConfigurationAgeMillis: 65576, TargetsAgeMillis: 65577,
	},
	spill.Table{
		Epoch: 4294967297, Number: 4294967298,
		Moves:   []spill.Move{{From: "text-3", To: "text-4", Route: "text-5", Fraction: 6.5, PlannedCPU: 7.5, Reason: "text-8"}, {From: "text-9", To: "text-10", Route: "text-11", Fraction: 12.5, PlannedCPU: 13.5, Reason: "text-14"}},
		Demands: []spill.RouteDemand{{Zone: "text-15", Route: "text-16", CPU: 17.5}, {Zone: "text-18", Route: "text-19", CPU: 20.5}},
	},
	spill.Report{
		Proxy: "text-1", RunID: 4294967298, Zone: "text-3", Number: 4294967300, IntervalMillis: 65541,
		Usage:         []spill.ServiceUsage{{Route: "text-6", Service: "text-7", CPU: 8.5}, {Route: "text-9", Service: "text-10", CPU: 11.5}},
		LatencyMicros: 4294967308, RequestCount: 4294967309,
	},
}
