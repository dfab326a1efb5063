package consensus

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// PageRequest asks a voter for a page of its registers, which a learner copies.
type PageRequest struct {
	VoterSetNumber uint64
	// AfterKey is the last key of the previous page, empty for the first page.
	AfterKey ids.RegisterKey
	// PageNumber identifies the request and is echoed in the response.
	PageNumber uint64
	// RunID and SinceChange request only what changed since an earlier copy: the RunID of
	// that copy and its ChangeCount. A zero RunID requests all registers.
	RunID       uint64
	SinceChange uint64
}

// PageRecord is one register in a page.
type PageRecord struct {
	Key      ids.RegisterKey
	Accepted ids.Ballot
	Value    []byte
}

// PageResponse is the response to a PageRequest.
type PageResponse struct {
	Store          uint64
	VoterSetNumber uint64
	PageNumber     uint64
	Records        []PageRecord
	// Last is set if no further page follows.
	Last bool
	// RunID identifies the run of the responding store. ChangeCount is how many changes
	// of that run are included: for a full copy those before its first page, for a copy
	// of changes those up to the end of this page.
	RunID       uint64
	ChangeCount uint64
	// Delta is set if the page contains only registers changed after SinceChange.
	Delta bool
}

var _ = wire.Register(27, PageRequest{}) && wire.Register(28, PageResponse{})

const (
	// maxPageRecords and maxPageBytes bound the size of a message. maxPageBytes applies
	// only to pages of changes, and may be exceeded by one record.
	maxPageRecords = 200
	maxPageBytes   = 1 << 18
)

// HandlePageRequest sends a page to a learner that uses the same voter set. If the learner's
// voter set is lower, it sends the current one instead; if it is higher, it does nothing.
func (a *Acceptor) HandlePageRequest(from ids.Address, m PageRequest) {
	if m.VoterSetNumber != a.voterSet.Number {
		if m.VoterSetNumber < a.voterSet.Number {
			a.AfterSync(event.Send{To: from, Message: VoterSetUpdate{a.voterSet}})
		}
		return
	}
	if a.damaged || !a.mayServePages() {
		return
	}
	if a.changedKeys.covers(m.RunID, m.SinceChange) {
		a.sendChangedRecords(from, m)
		return
	}
	stored := a.storage.Scan(registerPrefix+m.AfterKey, maxPageRecords)
	page := PageResponse{
		Store: a.storeID, VoterSetNumber: m.VoterSetNumber, PageNumber: m.PageNumber,
		Last: len(stored) < maxPageRecords, RunID: a.changedKeys.runID, ChangeCount: a.changedKeys.total(),
	}
	rawRecords := a.rawPageRecords(registerPrefix+m.AfterKey, stored, page.Last)
	for _, key := range slices.Sorted(maps.Keys(rawRecords)) {
		if state, ok := a.pageRegisterState(key, rawRecords[key]); ok {
			page.Records = append(page.Records, PageRecord{key[len(registerPrefix):], state.Accepted, state.Value})
		}
	}
	a.AfterSync(event.Send{To: from, Message: page})
}

// rawPageRecords returns the stored records of the page after a key, merged with unsynced
// records in its range. The range of the last page has no upper bound. A nil value means that
// the register is cached.
func (a *Acceptor) rawPageRecords(after ids.RegisterKey, stored []event.Record, last bool) map[ids.RegisterKey][]byte {
	inRange := func(key ids.RegisterKey) bool {
		return key > after && (last || key <= stored[len(stored)-1].Key)
	}
	rawRecords := map[ids.RegisterKey][]byte{}
	for _, record := range stored {
		rawRecords[record.Key] = record.Value
	}
	for key, record := range a.unsynced {
		if strings.HasPrefix(string(key), registerPrefix) && inRange(key) {
			rawRecords[key] = record.raw
		}
	}
	for key, r := range a.registers {
		if r.hasBase && inRange(registerPrefix+key) {
			rawRecords[registerPrefix+key] = nil
		}
	}
	return rawRecords
}

// pageRegisterState returns the register state for a record of a page. The record is the
// complete state only for idempotency keys; other registers may have changes to their base.
func (a *Acceptor) pageRegisterState(recordKey ids.RegisterKey, raw []byte) (RegisterState, bool) {
	if key := recordKey[len(registerPrefix):]; !isIdempotencyKey(key) {
		return a.registerState(key), true
	}
	return decodeMessage[RegisterState](raw)
}

// MergeRecord stores a copied register if it was accepted under a higher ballot than the
// value that this acceptor holds.
func (a *Acceptor) MergeRecord(record PageRecord) {
	state := a.registerState(record.Key)
	if !state.Accepted.Less(record.Accepted) {
		return
	}
	state.Accepted, state.Value = record.Accepted, record.Value
	state.Promised = state.Promised.Max(record.Accepted)
	a.saveRegister(record.Key, state)
}
