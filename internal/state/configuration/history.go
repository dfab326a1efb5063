package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// History records in compact form the outcomes of changes and the contents of replaced
// versions, so that duplicates of requests can be detected. It is part of the register's
// value and is therefore updated atomically with the items.
type History struct {
	// Changes has an entry for each change ID with an outcome: the hash of the change's
	// content, and the revision that it created or at which it was rejected.
	Changes historyEntries `json:"changes,omitempty"`
	// EvictedRevision is the highest revision of the entries evicted from Changes. All
	// changes accepted after it are still recorded.
	EvictedRevision ids.Revision `json:"forgotten,omitempty"`
	// Versions has an entry for each version of a merged item that was replaced.
	Versions historyEntries `json:"versions,omitempty"`
}

const (
	// maxChangeEntries covers one day of changes at the rate that the system is designed for.
	maxChangeEntries = 4300
	// maxVersionEntries bounds the entries of History.Versions.
	maxVersionEntries = 256
	// evictionBatch is the number of entries evicted at once. Between evictions changes
	// only append to the list, which keeps the deltas of the register small.
	evictionBatch = 64
)

// Sizes in bytes of an encoded entry and its parts: key, content hash, revision.
const (
	historyKeySize      = 8
	historyRevisionSize = 4
	historyEntrySize    = historyKeySize + contentHashSize + historyRevisionSize
)

// rejectedBit is set in an encoded revision if the change was rejected at that revision.
const rejectedBit = 1 << 31

// historyKey is the hash of a change ID, or of an item's key and version.
type historyKey [historyKeySize]byte

// historyEntry records the outcome of one change or the content of one version of an item.
type historyEntry struct {
	key         historyKey
	contentHash contentHash
	revision    ids.Revision
	rejected    bool
}

// historyEntries is a list of encoded entries, oldest first. Documents share it, so it is
// never modified in place.
type historyEntries []byte

func hashHistoryKey(subject string) historyKey {
	sum := sha256.Sum256([]byte(subject))
	return historyKey(sum[:historyKeySize])
}

// versionKey returns the key of one version of an item.
func versionKey(kind string, name ids.Name, version ids.Revision) historyKey {
	return hashHistoryKey(itemKey(kind, name) + "@" + strconv.FormatUint(uint64(version), 10))
}

func (e historyEntries) count() int { return len(e) / historyEntrySize }

// at decodes the entry at an index.
func (e historyEntries) at(index int) historyEntry {
	raw := e[index*historyEntrySize : (index+1)*historyEntrySize]
	revision := binary.BigEndian.Uint32(raw[historyKeySize+contentHashSize:])
	return historyEntry{
		key:         historyKey(raw[:historyKeySize]),
		contentHash: contentHash(raw[historyKeySize:]),
		revision:    ids.Revision(revision &^ rejectedBit),
		rejected:    revision&rejectedBit != 0,
	}
}

// find returns the newest entry with a key.
func (e historyEntries) find(key historyKey) (historyEntry, bool) {
	for i := e.count() - 1; i >= 0; i-- {
		if bytes.Equal(e[i*historyEntrySize:i*historyEntrySize+historyKeySize], key[:]) {
			return e.at(i), true
		}
	}
	return historyEntry{}, false
}

// add returns a copy of the list with one more entry, and the highest revision of the
// entries that were evicted to stay within the limit.
func (e historyEntries) add(entry historyEntry, limit int) (historyEntries, ids.Revision) {
	var droppedRevision ids.Revision
	if e.count() >= limit {
		dropped := min(e.count(), e.count()-limit+evictionBatch)
		for i := range dropped {
			droppedRevision = max(droppedRevision, e.at(i).revision)
		}
		e = e[dropped*historyEntrySize:]
	}
	revision := uint32(entry.revision) &^ rejectedBit
	if entry.rejected {
		revision |= rejectedBit
	}
	next := append(slices.Clone(e), entry.key[:]...)
	next = append(next, entry.contentHash[:]...)
	return binary.BigEndian.AppendUint32(next, revision), droppedRevision
}

// history returns the document's history. For a document without one it is derived from
// the retained results: if a list of them is full, some may have been evicted.
func (d *Document) history() History {
	if d.History != nil {
		return *d.History
	}
	var h History
	for _, retained := range []struct {
		results []Result
		limit   int
	}{{d.RecentResults, maxRecentResults}, {d.RejectedResults, maxRejectedResults}} {
		if len(retained.results) >= retained.limit {
			h.EvictedRevision = max(h.EvictedRevision, retained.results[0].Revision)
		}
	}
	return h
}

// recordChange records the outcome of a change in the document's history, in place.
func (d *Document) recordChange(c Change, res Result) {
	h := d.history()
	entry := historyEntry{
		key:         hashHistoryKey(string(c.ID)),
		contentHash: hashChange(c),
		revision:    res.Revision,
		rejected:    !res.Accepted(),
	}
	var dropped ids.Revision
	h.Changes, dropped = h.Changes.add(entry, maxChangeEntries)
	h.EvictedRevision = max(h.EvictedRevision, dropped)
	d.History = &h
}

// recordVersion records the content of an item's current version in the document's
// history, in place, before that version is replaced.
func (d *Document) recordVersion(kind string, name ids.Name) {
	version, ok := d.version(kind, name)
	if !ok {
		return
	}
	h := d.history()
	entry := historyEntry{
		key:         versionKey(kind, name, version),
		contentHash: d.contentHashOf(kind, name),
		revision:    d.Revision,
	}
	h.Versions, _ = h.Versions.add(entry, maxVersionEntries)
	d.History = &h
}
