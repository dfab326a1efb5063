package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A change that is resent after hundreds of other changes and a restart is acknowledged, not
// applied again.
func TestApply_AcknowledgesResentAcceptedChange(t *testing.T) {
	is := is.New(t)
	conditional := `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`
	d, _ := applyChange(t, emptyDocument(t), "make", putLedgerService)
	d, first := applyChange(t, d, "order", conditional)
	is.True(first.Accepted())
	d, second := applyChange(t, d, "after", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	is.True(second.Accepted())
	d, removed := applyChange(t, d, "removal", `{"kind":"service","name":"ledger","version":3,"remove":true}`)
	is.True(removed.Accepted())
	d = reencoded(t, applyOtherChanges(t, d, 300))
	for id, items := range map[string]string{"order": conditional, "make": putLedgerService, "removal": `{"kind":"service","name":"ledger","version":3,"remove":true}`} {
		next, res := applyChange(t, d, id, items)
		is.True(res.Accepted())
		is.True(next == d)
	}
	_, res := applyChange(t, d, "order", conditional)
	is.Equal(res.Revision, first.Revision)
}

// The change that wrote an item's current version or tombstone is detected as a duplicate
// even if its history entry was evicted.
func TestApply_DetectsDuplicateFromItemAfterHistoryEviction(t *testing.T) {
	is := is.New(t)
	d, made := applyChange(t, emptyDocument(t), "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	d, _ = applyChange(t, d, "x", `{"kind":"service","name":"gone","put":{}}`)
	d, _ = applyChange(t, d, "removal", `{"kind":"service","name":"gone","remove":true}`)
	d = reencoded(t, applyOtherChanges(t, d, maxChangeEntries+evictionBatch))
	is.True(d.history().EvictedRevision > 3)
	_, res := applyChange(t, d, "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	is.True(res.Accepted())
	is.Equal(res.Revision, made.Revision)
	next, res := applyChange(t, d, "removal", `{"kind":"service","name":"gone","remove":true}`)
	is.True(res.Accepted())
	is.True(next == d)
}

// A duplicate of a change whose history entry was evicted has an unknown outcome, but a change
// that can't have been accepted before is applied or rejected as usual.
func TestApply_EvictedChangeHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	d, _ := applyChange(t, emptyDocument(t), "1", putLedgerService)
	d, _ = applyChange(t, d, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	d, _ = applyChange(t, d, "3", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	d = reencoded(t, applyOtherChanges(t, d, maxChangeEntries+evictionBatch))
	next, res := applyChange(t, d, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(res.UnknownReason != "" && !res.Accepted())
	is.True(next == d)
	// A change without a version has an unknown outcome if its ID has an older revision.
	next, res = applyChange(t, d, ChangeIDAt(2, "abc"), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(res.UnknownReason != "")
	is.True(next == d)
	_, res = applyChange(t, d, ChangeIDAt(d.Revision, "abc"), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(res.Accepted())
	// A different change replaced version 2, so this one can't have been accepted.
	_, res = applyChange(t, d, "slow", `{"kind":"service","name":"ledger","version":2,"put":{"tier":6}}`)
	is.Equal(len(res.VersionConflicts), 1)
	// No item of that name ever existed.
	_, res = applyChange(t, d, "slip", `{"kind":"service","name":"legder","remove":true}`)
	is.Equal(len(res.MissingItems), 1)
	is.True(d.history().Changes.count() <= maxChangeEntries)
}

// A change ID can't be reused for a different change. The same change with a different JSON
// encoding is a duplicate.
func TestApply_RejectsReusedChangeID(t *testing.T) {
	is := is.New(t)
	d, res := applyChange(t, emptyDocument(t), "release-7", `{"kind":"service","name":"ledger","put":{"tier":8,"circuits":2}}`)
	is.True(res.Accepted())
	next, res := applyChange(t, d, "release-7", `{"kind":"service","name":"ledger","put":{"tier":7,"circuits":2}}`)
	is.Equal(len(res.ReuseConflicts), 1)
	is.True(next == d)
	next, res = applyChange(t, d, "release-7", `{"name":"ledger","put":{ "circuits": 2, "tier": 8 },"kind":"service"}`)
	is.True(res.Accepted())
	is.True(next == d)
}

// A rejected change stays rejected after its result was evicted from RejectedResults.
func TestApply_RejectedChangeStaysRejectedAfterResultEviction(t *testing.T) {
	is := is.New(t)
	remove := `{"kind":"service","name":"ledger","remove":true}`
	d, res := applyChange(t, emptyDocument(t), "early", remove)
	is.Equal(len(res.MissingItems), 1)
	for i := range 2 * maxRejectedResults {
		d, _ = applyChange(t, d, fmt.Sprintf("d%d", i), `{"kind":"route","name":"none","remove":true}`)
	}
	d, _ = applyChange(t, d, "make", putLedgerService)
	next, res := applyChange(t, reencoded(t, d), "early", remove)
	is.True(!res.Accepted())
	is.Equal(len(res.Violations), 0) // rejected by a reuse conflict, since the change itself is valid
	is.Equal(len(next.Services), 1)
}

// In a document written before History existed, only the retained results are known; other
// changes have an unknown outcome.
func TestApply_ReadsDocumentWithoutHistory(t *testing.T) {
	is := is.New(t)
	d, _ := applyChange(t, emptyDocument(t), "first", putLedgerService)
	d, _ = applyChange(t, d, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	d = applyOtherChanges(t, d, maxRecentResults)
	d.History = nil
	for name, item := range d.Services {
		item.ChangeIDHash, item.PreviousVersion, item.EverMerged = "", 0, false
		d.Services[name] = item
	}
	d = reencoded(t, d)
	_, res := applyChange(t, d, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(res.UnknownReason != "")
	last := d.RecentResults[len(d.RecentResults)-1]
	_, res = applyChange(t, d, string(last.ID), `{"kind":"service","name":"busy","put":{}}`)
	is.Equal(res, last)
}

// sentChange is a change that may be resent, with its first result.
type sentChange struct {
	id, items   string
	firstResult Result
}

// randomChange returns a change of one of five services, often with a stale version. A change
// without a version has an ID with a base revision.
func randomChange(random *rand.Rand, d *Document, number int) sentChange {
	change := sentChange{id: fmt.Sprintf("c%d", number)}
	name := ids.Name(fmt.Sprintf("s%d", random.IntN(5)))
	expected := d.Services[name].Version
	if random.IntN(4) == 0 {
		expected -= min(expected, ids.Revision(random.IntN(6)))
	}
	action := fmt.Sprintf(`"put":{"circuits":%d}`, random.IntN(50))
	if random.IntN(5) == 0 {
		action = `"remove":true`
	}
	version := fmt.Sprintf(`"version":%d,`, expected)
	if expected == 0 || random.IntN(3) == 0 {
		version, change.id = "", ChangeIDAt(d.Revision-min(d.Revision, 3), change.id)
	}
	change.items = fmt.Sprintf(`{"kind":"service","name":%q,%s%s}`, name, version, action)
	return change
}

// resend applies a change again, compares its result with the first one, and reports whether
// the outcome was unknown.
func (c sentChange) resend(t *testing.T, d *Document) bool {
	t.Helper()
	next, res := applyChange(t, d, c.id, c.items)
	unknown := res.UnknownReason != ""
	if !unknown && c.firstResult.Accepted() != res.Accepted() {
		t.Fatalf("%s %s: first result %+v, result when resent %+v", c.id, c.items, c.firstResult, res)
	}
	if next.Revision != d.Revision {
		t.Fatalf("%s was applied twice", c.id)
	}
	return unknown
}

// However late a change is resent: if it was accepted, it is neither rejected nor applied
// again, and if it was rejected, it is never accepted.
func TestApply_ResentChangesOfAnyAgeKeepTheirOutcome(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 18))
		d := emptyDocument(t)
		var sent []sentChange
		unknown := 0
		for i := range 3 * maxChangeEntries {
			if i > 0 && i%4 == 0 {
				if sent[random.IntN(len(sent))].resend(t, d) {
					unknown++
				}
				continue
			}
			change := randomChange(random, d, i)
			d, change.firstResult = applyChange(t, d, change.id, change.items)
			if change.firstResult.UnknownReason != "" {
				t.Fatalf("new change %s has an unknown outcome: %+v", change.id, change.firstResult)
			}
			sent = append(sent, change)
			if i%1000 == 0 {
				d = reencoded(t, d)
			}
		}
		if unknown == 0 || d.history().EvictedRevision == 0 {
			t.Fatal("no resent change was older than the history")
		}
	}
}
