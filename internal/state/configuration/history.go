package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// History remembers, in few bytes each, the outcomes of changes and the contents of
// replaced versions. It is part of the register's value, so whatever makes a request
// harmless to send again is agreed on together with what the request did.
type History struct {
	// Changes has an entry for each change id with an outcome: the change's content,
	// and the revision that it made or at which it was rejected.
	Changes historyEntries `json:"changes,omitempty"`
	// ForgottenRevision is the highest revision of an entry that was dropped from
	// Changes. Whatever was accepted later is known.
	ForgottenRevision ids.Revision `json:"forgotten,omitempty"`
	// Versions has an entry for each version of a merged item that was replaced.
	Versions historyEntries `json:"versions,omitempty"`
}

const (
	// maxChangeEntries is a day of changes at the size that the system is designed for.
	maxChangeEntries = 4300
	// maxVersionEntries bounds how many replaced versions have a known content.
	maxVersionEntries = 256
	// evictionBatch is how many entries are dropped together, so that most changes
	// only append to the list: that keeps the register's delta small.
	evictionBatch = 64
)

// Sizes in bytes within an encoded entry: key, content hash, revision.
const (
	historyKeySize      = 8
	historyRevisionSize = 4
	historyEntrySize    = historyKeySize + contentHashSize + historyRevisionSize
)

// rejectedBit in an encoded revision says that a change was rejected at it.
const rejectedBit = 1 << 31

// historyKey is a hash of what an entry is about: a change id or an item's version.
type historyKey [historyKeySize]byte

// historyEntry is what is remembered of one change or of one version of an item.
type historyEntry struct {
	key         historyKey
	contentHash contentHash
	revision    ids.Revision
	rejected    bool
}

// historyEntries is a list of encoded entries, oldest first. It is never modified in
// place, since documents share it.
type historyEntries []byte

func historyKeyOf(subject string) historyKey {
	sum := sha256.Sum256([]byte(subject))
	return historyKey(sum[:historyKeySize])
}

// versionKey is the key of one version of an item.
func versionKey(kind string, name ids.Name, version ids.Revision) historyKey {
	return historyKeyOf(itemKey(kind, name) + "@" + strconv.FormatUint(uint64(version), 10))
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

// find returns the newest entry of a key.
func (e historyEntries) find(key historyKey) (historyEntry, bool) {
	for i := e.count() - 1; i >= 0; i-- {
		if bytes.Equal(e[i*historyEntrySize:i*historyEntrySize+historyKeySize], key[:]) {
			return e.at(i), true
		}
	}
	return historyEntry{}, false
}

// add returns a copy of the list with one more entry, and the highest revision of the
// entries that were dropped to stay within the limit.
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

// history returns what the document remembers. For a document without a History it is
// derived from the kept results: if they are as many as fit, some were dropped.
func (d *Document) history() History {
	if d.History != nil {
		return *d.History
	}
	var h History
	for _, kept := range []struct {
		results []Result
		limit   int
	}{{d.RecentResults, maxRecentResults}, {d.RejectedResults, maxRejectedResults}} {
		if len(kept.results) >= kept.limit {
			h.ForgottenRevision = max(h.ForgottenRevision, kept.results[0].Revision)
		}
	}
	return h
}

// recordChange remembers the outcome of a change, in place.
func (d *Document) recordChange(c Change, res Result) {
	h := d.history()
	entry := historyEntry{
		key:         historyKeyOf(string(c.ID)),
		contentHash: hashChange(c),
		revision:    res.Revision,
		rejected:    !res.Accepted(),
	}
	var dropped ids.Revision
	h.Changes, dropped = h.Changes.add(entry, maxChangeEntries)
	h.ForgottenRevision = max(h.ForgottenRevision, dropped)
	d.History = &h
}

// recordVersion remembers, in place, the content of a version that is about to be
// replaced.
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
