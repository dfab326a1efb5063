package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// History remembers, in few bytes each, how changes ended and what content
// versions had that were overtaken since. It is part of the register's value, so
// what makes a resent call harmless is agreed on together with what the call did.
type History struct {
	// Changes holds an entry for each change id that ended: its content, and the
	// revision that it made or was rejected at.
	Changes historyEntries `json:"changes,omitempty"`
	// ForgottenRevision is the highest revision of an entry that Changes had to drop.
	// Whatever was made after it is known.
	ForgottenRevision ids.Revision `json:"forgotten,omitempty"`
	// Versions holds an entry for each version of a merged item that once held.
	Versions historyEntries `json:"versions,omitempty"`
}

const (
	// maxChangeEntries is a day of changes at the size that is designed for.
	maxChangeEntries = 4300
	// maxVersionEntries bounds the versions whose content is known though overtaken.
	maxVersionEntries = 256
	// evictionBatch is how many entries are dropped together, so that most changes
	// only append to the list.
	evictionBatch = 64
)

const (
	historyKeySize = 8
	revisionSize   = 4
	entrySize      = historyKeySize + contentHashSize + revisionSize
	// rejectedBit marks a revision at which a change was rejected.
	rejectedBit = 1 << 31
)

// historyKey is a hash of what an entry is about.
type historyKey [historyKeySize]byte

// historyEntry is what is remembered of one change or of one version of an item.
type historyEntry struct {
	key         historyKey
	contentHash contentHash
	revision    ids.Revision
	rejected    bool
}

// historyEntries is a list of entries, oldest first, each of entrySize bytes. It is
// never altered in place, as configurations share it.
type historyEntries []byte

func historyKeyOf(what string) historyKey {
	whole := sha256.Sum256([]byte(what))
	return historyKey(whole[:historyKeySize])
}

func (list historyEntries) count() int { return len(list) / entrySize }

func (list historyEntries) at(i int) historyEntry {
	raw := list[i*entrySize : (i+1)*entrySize]
	revision := binary.BigEndian.Uint32(raw[historyKeySize+contentHashSize:])
	return historyEntry{historyKey(raw[:historyKeySize]), contentHash(raw[historyKeySize:]), ids.Revision(revision &^ rejectedBit), revision&rejectedBit != 0}
}

// find gives the newest entry under a key.
func (list historyEntries) find(key historyKey) (historyEntry, bool) {
	for i := list.count() - 1; i >= 0; i-- {
		if bytes.Equal(list[i*entrySize:i*entrySize+historyKeySize], key[:]) {
			return list.at(i), true
		}
	}
	return historyEntry{}, false
}

// add gives the list with one more entry and at most so many of them, and the
// highest revision among those that were dropped.
func (list historyEntries) add(e historyEntry, most int) (historyEntries, ids.Revision) {
	var dropped ids.Revision
	if list.count() >= most {
		old := min(list.count(), list.count()-most+evictionBatch)
		for i := range old {
			dropped = max(dropped, list.at(i).revision)
		}
		list = list[old*entrySize:]
	}
	revision := uint32(e.revision) &^ rejectedBit
	if e.rejected {
		revision |= rejectedBit
	}
	next := append(slices.Clone(list), e.key[:]...)
	next = append(next, e.contentHash[:]...)
	return binary.BigEndian.AppendUint32(next, revision), dropped
}

// history gives what is remembered; of a configuration that was written before there
// was a history, as much as its results tell.
func (d *Document) history() History {
	if d.History != nil {
		return *d.History
	}
	var h History
	for _, list := range []struct {
		results []Result
		most    int
	}{{d.RecentResults, maxRecentResults}, {d.RejectedResults, maxRejectedResults}} {
		if len(list.results) >= list.most {
			h.ForgottenRevision = max(h.ForgottenRevision, list.results[0].Revision)
		}
	}
	return h
}

// recordChange notes how a change ended.
func (d *Document) recordChange(c Change, res Result) {
	h := d.history()
	e := historyEntry{historyKeyOf(string(c.ID)), hashChange(c), res.Revision, !res.Accepted()}
	var dropped ids.Revision
	h.Changes, dropped = h.Changes.add(e, maxChangeEntries)
	h.ForgottenRevision = max(h.ForgottenRevision, dropped)
	d.History = &h
}

// versionKey names one version of an item.
func versionKey(kind string, name ids.Name, v ids.Revision) historyKey {
	return historyKeyOf(kind + "/" + string(name) + "@" + strconv.FormatUint(uint64(v), 10))
}

// recordVersion notes the content of a version that is about to be overtaken.
func (d *Document) recordVersion(kind string, name ids.Name) {
	v, ok := d.version(kind, name)
	if !ok {
		return
	}
	h := d.history()
	e := historyEntry{key: versionKey(kind, name, v), contentHash: d.contentHashOf(kind, name), revision: d.Revision}
	h.Versions, _ = h.Versions.add(e, maxVersionEntries)
	d.History = &h
}

// recordVersionIfMerged notes the version that holds, if versions of the name were given
// from outside.
func (d *Document) recordVersionIfMerged(kind string, name ids.Name, given bool) {
	if given {
		d.recordVersion(kind, name)
	}
}

// reuseConflicts tells whether an item's version stands for another content already:
// two callers can't both be told that one number is theirs.
func (d *Document) reuseConflicts(g VersionedItem) []Violation {
	have, known := d.version(g.Kind, g.Name)
	if !known || g.Version > have {
		return nil
	}
	content := d.contentHashOf(g.Kind, g.Name)
	if g.Version < have {
		e, ok := d.history().Versions.find(versionKey(g.Kind, g.Name, g.Version))
		if !ok {
			// It never held, or that is long ago: overtaken, it has no effect.
			return nil
		}
		content = e.contentHash
	}
	if content == g.contentHash() {
		return nil
	}
	return []Violation{{g.Kind + "/" + string(g.Name), "version", reasonOtherValue}}
}

// contentHash sums up what a given item asks for.
func (g VersionedItem) contentHash() contentHash {
	if g.Removed {
		return removedContentHash
	}
	return hashItem(g.Body, g.Source)
}

// contentHashOf sums up what holds for a name: an item, or its removal.
func (d *Document) contentHashOf(kind string, name ids.Name) contentHash {
	it, ok := d.Items(kind)[name]
	if !ok {
		return removedContentHash
	}
	return hashItem(it.Body, it.Source)
}
