package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// applyOtherChanges makes so many other changes, all of one other item.
func applyOtherChanges(t *testing.T, p *Document, many int) *Document {
	t.Helper()
	for i := range many {
		var r Result
		p, r = applyChange(t, p, fmt.Sprintf("other-%d-%d", p.Revision, i), fmt.Sprintf(`{"kind":"service","name":"busy","put":{"circuits":%d}}`, i%9))
		if !r.Accepted() {
			t.Fatalf("%+v", r)
		}
	}
	return p
}

// reencoded gives the configuration as a store that restarts, or one that takes another's
// copy, reads it.
func reencoded(t *testing.T, p *Document) *Document {
	t.Helper()
	q, err := Decode(p.Encode(true))
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// A change is acknowledged, its answer is lost, and its copy comes after hundreds
// of others and a restart.
func TestApply_AcknowledgesResentAcceptedChange(t *testing.T) {
	is := is.New(t)
	conditional := `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`
	p, _ := applyChange(t, emptyDocument(t), "make", service)
	p, first := applyChange(t, p, "order", conditional)
	is.True(first.Accepted())
	p, second := applyChange(t, p, "after", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	is.True(second.Accepted())
	p, removed := applyChange(t, p, "removal", `{"kind":"service","name":"ledger","version":3,"remove":true}`)
	is.True(removed.Accepted())
	p = reencoded(t, applyOtherChanges(t, p, 300))
	for id, parts := range map[string]string{"order": conditional, "make": service, "removal": `{"kind":"service","name":"ledger","version":3,"remove":true}`} {
		q, r := applyChange(t, p, id, parts)
		is.True(r.Accepted())
		is.True(q == p)
	}
	_, r := applyChange(t, p, "order", conditional)
	is.Equal(r.Revision, first.Revision)
}

// What made an item's present version, or removed it, is known for ever.
func TestApply_ItemIdentifiesItsChangeAfterHistoryIsTrimmed(t *testing.T) {
	is := is.New(t)
	p, made := applyChange(t, emptyDocument(t), "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	p, _ = applyChange(t, p, "x", `{"kind":"service","name":"gone","put":{}}`)
	p, _ = applyChange(t, p, "removal", `{"kind":"service","name":"gone","remove":true}`)
	p = reencoded(t, applyOtherChanges(t, p, maxChangeEntries+evictionBatch))
	is.True(p.history().ForgottenRevision > 3)
	_, r := applyChange(t, p, "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	is.True(r.Accepted())
	is.Equal(r.Revision, made.Revision)
	q, r := applyChange(t, p, "removal", `{"kind":"service","name":"gone","remove":true}`)
	is.True(r.Accepted())
	is.True(q == p)
}

// Where the end of a change is forgotten, its copy gets no clear answer; where it
// can't have been accepted, it is refused as ever.
func TestApply_ForgottenChangeHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	p, _ := applyChange(t, emptyDocument(t), "1", service)
	p, _ = applyChange(t, p, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	p, _ = applyChange(t, p, "3", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	p = reencoded(t, applyOtherChanges(t, p, maxChangeEntries+evictionBatch))
	q, r := applyChange(t, p, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(r.UnknownReason != "" && !r.Accepted())
	is.True(q == p)
	// An unconditional one isn't made again either, if its id tells its age.
	q, r = applyChange(t, p, ChangeIDAt(2, "abc"), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(r.UnknownReason != "")
	is.True(q == p)
	_, r = applyChange(t, p, ChangeIDAt(p.Revision, "abc"), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(r.Accepted())
	// Two operators had read version 2, and one was quicker, long ago.
	_, r = applyChange(t, p, "slow", `{"kind":"service","name":"ledger","version":2,"put":{"tier":6}}`)
	is.Equal(len(r.VersionConflicts), 1)
	// Nothing of that name ever was.
	_, r = applyChange(t, p, "slip", `{"kind":"service","name":"legder","remove":true}`)
	is.Equal(len(r.MissingItems), 1)
	is.True(p.history().Changes.count() <= maxChangeEntries)
}

// Two operators take the same id for two changes: one of them isn't in force, so
// it isn't confirmed.
func TestApply_RejectsReusedChangeID(t *testing.T) {
	is := is.New(t)
	p, r := applyChange(t, emptyDocument(t), "release-7", `{"kind":"service","name":"ledger","put":{"tier":8,"circuits":2}}`)
	is.True(r.Accepted())
	q, r := applyChange(t, p, "release-7", `{"kind":"service","name":"ledger","put":{"tier":7,"circuits":2}}`)
	is.Equal(len(r.ReuseConflicts), 1)
	is.True(q == p)
	q, r = applyChange(t, p, "release-7", `{"name":"ledger","put":{ "circuits": 2, "tier": 8 },"kind":"service"}`)
	is.True(r.Accepted())
	is.True(q == p)
}

// A change that was rejected stays so after hundreds of other rejected ones.
func TestApply_RejectedChangeStaysRejectedBeyondKeptResults(t *testing.T) {
	is := is.New(t)
	remove := `{"kind":"service","name":"ledger","remove":true}`
	p, r := applyChange(t, emptyDocument(t), "early", remove)
	is.Equal(len(r.MissingItems), 1)
	for i := range 2 * maxRejectedResults {
		p, _ = applyChange(t, p, fmt.Sprintf("d%d", i), `{"kind":"route","name":"none","remove":true}`)
	}
	p, _ = applyChange(t, p, "make", service)
	q, r := applyChange(t, reencoded(t, p), "early", remove)
	is.True(!r.Accepted())
	is.Equal(len(r.Violations), 0) // a valid change isn't called invalid
	is.Equal(len(q.Services), 1)
}

// Two operators send two contents of one version: one is confirmed, the other is
// refused with the reason, and each gets the same answer to its copies.
func TestMerge_RejectsOtherContentUnderUsedVersion(t *testing.T) {
	is := is.New(t)
	base, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedService("plover", 1)))
	one, other := versionedRoute("mud", "wader", 5), versionedRoute("mud", "plover", 5)
	p, r := base.Merge(mergeOf(one))
	is.True(r.Accepted())
	refused := []Violation{{"route/mud", "version", reasonOtherContent}}
	q, r := p.Merge(mergeOf(other, versionedRoute("sand", "plover", 5)))
	is.Equal(r.ReuseConflicts, refused)
	is.True(q == p) // whole or nothing
	_, r = p.Merge(mergeOf(versionedRemoval("route", "mud", 5)))
	is.Equal(r.ReuseConflicts, refused)
	// So it is once both are overtaken, and once the item is removed.
	for _, next := range []VersionedItem{versionedRoute("mud", "plover", 9), versionedRemoval("route", "mud", 11)} {
		p, _ = p.Merge(mergeOf(next))
		p = reencoded(t, p)
		q, r = p.Merge(mergeOf(one))
		is.True(r.Accepted())
		is.True(q == p)
		q, r = p.Merge(mergeOf(other))
		is.Equal(r.ReuseConflicts, refused)
		is.True(q == p)
	}
	// Both in one call.
	_, r = base.Merge(mergeOf(one, other))
	is.Equal(r.ReuseConflicts, refused)
}

// The same content in another spelling is the same content.
func TestMerge_ComparesContentNotSpelling(t *testing.T) {
	is := is.New(t)
	spelled := func(source string) VersionedItem {
		g := versionedService("wader", 3)
		g.Source = json.RawMessage(source)
		return g
	}
	p, _ := emptyDocument(t).Merge(mergeOf(spelled(`{"a":"\u00e4<","n":4.0,"list":[1,2],"big":9007199254740993}`)))
	p = reencoded(t, p)
	q, r := p.Merge(mergeOf(spelled(`{ "list":[1, 2], "big":9007199254740993, "n":4, "a":"ä\u003c" }`)))
	is.True(r.Accepted())
	is.True(q == p)
	for _, differs := range []string{
		`{"a":"ä<","n":4,"list":[2,1],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2],"big":9007199254740992}`,
		`{"a":"ä<","n":"4","list":[1,2],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2]}`,
	} {
		_, r = p.Merge(mergeOf(spelled(differs)))
		is.Equal(len(r.ReuseConflicts), 1)
	}
}

// A configuration from before there was a history: what its results tell is known, and
// nothing is taken for certain beyond them.
func TestApply_ReadsDocumentWithoutHistory(t *testing.T) {
	is := is.New(t)
	p, _ := applyChange(t, emptyDocument(t), "first", service)
	p, _ = applyChange(t, p, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	p = applyOtherChanges(t, p, maxRecentResults)
	p.History = nil
	for n, it := range p.Services {
		it.ChangeHash, it.PreviousVersion, it.EverMerged = "", 0, false
		p.Services[n] = it
	}
	p = reencoded(t, p)
	_, r := applyChange(t, p, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(r.UnknownReason != "")
	last := p.RecentResults[len(p.RecentResults)-1]
	_, r = applyChange(t, p, string(last.ID), `{"kind":"service","name":"busy","put":{}}`)
	is.Equal(r, last)
}
