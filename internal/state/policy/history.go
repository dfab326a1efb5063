package policy

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
	// revision that it made or was declined at.
	Changes entries `json:"changes,omitempty"`
	// Forgotten is the highest revision of an entry that Changes had to drop.
	// Whatever was made after it is known.
	Forgotten ids.Revision `json:"forgotten,omitempty"`
	// Versions holds an entry for each version of a merged item that once held.
	Versions entries `json:"versions,omitempty"`
}

const (
	// mostChanges is a day of changes at the size that is designed for.
	mostChanges = 4300
	// mostVersions bounds the versions whose content is known though overtaken.
	mostVersions = 256
	// dropAtOnce is how many entries are dropped together, so that most changes
	// only append to the list.
	dropAtOnce = 64
)

const (
	keySize      = 8
	revisionSize = 4
	entrySize    = keySize + contentSize + revisionSize
	// declinedBit marks a revision at which a change was declined.
	declinedBit = 1 << 31
)

// entryKey is a hash of what an entry is about.
type entryKey [keySize]byte

// entry is what is remembered of one change or of one version of an item.
type entry struct {
	key      entryKey
	content  contentSum
	revision ids.Revision
	declined bool
}

// entries is a list of entries, oldest first, each of entrySize bytes. It is
// never altered in place, as policies share it.
type entries []byte

func keyOf(what string) entryKey {
	whole := sha256.Sum256([]byte(what))
	return entryKey(whole[:keySize])
}

func (list entries) count() int { return len(list) / entrySize }

func (list entries) at(i int) entry {
	raw := list[i*entrySize : (i+1)*entrySize]
	revision := binary.BigEndian.Uint32(raw[keySize+contentSize:])
	return entry{entryKey(raw[:keySize]), contentSum(raw[keySize:]), ids.Revision(revision &^ declinedBit), revision&declinedBit != 0}
}

// find gives the newest entry under a key.
func (list entries) find(key entryKey) (entry, bool) {
	for i := list.count() - 1; i >= 0; i-- {
		if bytes.Equal(list[i*entrySize:i*entrySize+keySize], key[:]) {
			return list.at(i), true
		}
	}
	return entry{}, false
}

// add gives the list with one more entry and at most so many of them, and the
// highest revision among those that were dropped.
func (list entries) add(e entry, most int) (entries, ids.Revision) {
	var dropped ids.Revision
	if list.count() >= most {
		old := min(list.count(), list.count()-most+dropAtOnce)
		for i := range old {
			dropped = max(dropped, list.at(i).revision)
		}
		list = list[old*entrySize:]
	}
	revision := uint32(e.revision) &^ declinedBit
	if e.declined {
		revision |= declinedBit
	}
	next := append(slices.Clone(list), e.key[:]...)
	next = append(next, e.content[:]...)
	return binary.BigEndian.AppendUint32(next, revision), dropped
}

// history gives what is remembered; of a policy that was written before there
// was a history, as much as its results tell.
func (p *Policy) history() History {
	if p.History != nil {
		return *p.History
	}
	var h History
	for _, list := range []struct {
		results []Result
		most    int
	}{{p.Recent, mostRecent}, {p.Declined, mostDeclined}} {
		if len(list.results) >= list.most {
			h.Forgotten = max(h.Forgotten, list.results[0].Revision)
		}
	}
	return h
}

// rememberChange notes how a change ended.
func (p *Policy) rememberChange(c Change, res Result) {
	h := p.history()
	e := entry{keyOf(string(c.ID)), sumOfChange(c), res.Revision, !res.Accepted()}
	var dropped ids.Revision
	h.Changes, dropped = h.Changes.add(e, mostChanges)
	h.Forgotten = max(h.Forgotten, dropped)
	p.History = &h
}

// versionKey names one version of an item.
func versionKey(kind string, name ids.Name, v ids.Revision) entryKey {
	return keyOf(kind + "/" + string(name) + "@" + strconv.FormatUint(uint64(v), 10))
}

// rememberVersion notes the content of a version that is about to be overtaken.
func (p *Policy) rememberVersion(kind string, name ids.Name) {
	v, ok := p.version(kind, name)
	if !ok {
		return
	}
	h := p.history()
	e := entry{key: versionKey(kind, name, v), content: p.contentOf(kind, name), revision: p.Revision}
	h.Versions, _ = h.Versions.add(e, mostVersions)
	p.History = &h
}

// rememberGiven notes the version that holds, if versions of the name were given
// from outside.
func (p *Policy) rememberGiven(kind string, name ids.Name, given bool) {
	if given {
		p.rememberVersion(kind, name)
	}
}

// conflicts tells whether an item's version stands for another content already:
// two callers can't both be told that one number is theirs.
func (p *Policy) conflicts(g Given) []Fault {
	have, known := p.version(g.Kind, g.Name)
	if !known || g.Version > have {
		return nil
	}
	content := p.contentOf(g.Kind, g.Name)
	if g.Version < have {
		e, ok := p.history().Versions.find(versionKey(g.Kind, g.Name, g.Version))
		if !ok {
			// It never held, or that is long ago: overtaken, it has no effect.
			return nil
		}
		content = e.content
	}
	if content == g.content() {
		return nil
	}
	return []Fault{{g.Kind + "/" + string(g.Name), "version", reasonOtherValue}}
}

// content sums up what a given item asks for.
func (g Given) content() contentSum {
	if g.Removed {
		return removedContent
	}
	return sumOfItem(g.Body, g.Source)
}

// contentOf sums up what holds for a name: an item, or its removal.
func (p *Policy) contentOf(kind string, name ids.Name) contentSum {
	it, ok := p.Of(kind)[name]
	if !ok {
		return removedContent
	}
	return sumOfItem(it.Body, it.Source)
}
