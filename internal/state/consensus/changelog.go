package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// changeLog lists the registers that this run changed of late, in order, so
// that whoever copied everything before can be given the rest alone.
type changeLog struct {
	// epoch names this run of this store; 0 keeps no list.
	epoch uint64
	// first is how many changes were dropped off the front.
	first uint64
	keys  []ids.Key
}

const (
	mostChanges   = 1 << 15
	recordsInPage = 200
	bytesInPage   = 1 << 18
)

// SetEpoch names this run; no two runs of a store may have the same.
func (a *Acceptor) SetEpoch(epoch uint64) { a.changes.epoch = epoch }

func (c *changeLog) note(key ids.Key) {
	if c.epoch == 0 || !strings.HasPrefix(string(key), slotPrefix) {
		return
	}
	if len(c.keys) == mostChanges {
		half := mostChanges / 2
		c.keys, c.first = append([]ids.Key{}, c.keys[half:]...), c.first+uint64(half)
	}
	c.keys = append(c.keys, key[len(slotPrefix):])
}

func (c *changeLog) count() uint64 { return c.first + uint64(len(c.keys)) }

// covers tells whether all changes since a count in this run are listed.
func (c *changeLog) covers(epoch, since uint64) bool {
	return epoch != 0 && epoch == c.epoch && since >= c.first && since <= c.count()
}

// sendChanges answers with the records that changed since, each once.
func (a *Acceptor) sendChanges(from ids.Address, m PageRequest) {
	l := PageResponse{Store: a.store, VoterSet: m.VoterSet, Number: m.Number, Epoch: a.changes.epoch, Changes: m.Since, Delta: true}
	seen, size := map[ids.Key]bool{}, 0
	for _, key := range a.changes.keys[m.Since-a.changes.first:] {
		if !seen[key] && (len(l.Records) == recordsInPage || size > bytesInPage) {
			a.AfterSync(event.Send{To: from, Msg: l})
			return
		}
		l.Changes++
		if !seen[key] {
			seen[key] = true
			s := a.slot(key)
			l.Records = append(l.Records, PageRecord{key, s.Accepted, s.Value})
			size += len(s.Value)
		}
	}
	l.Last = true
	a.AfterSync(event.Send{To: from, Msg: l})
}
