package policy

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// others makes so many other changes, all of one other item.
func others(t *testing.T, p *Policy, many int) *Policy {
	t.Helper()
	for i := range many {
		var r Result
		p, r = change(t, p, fmt.Sprintf("other-%d-%d", p.Revision, i), fmt.Sprintf(`{"kind":"service","name":"busy","put":{"circuits":%d}}`, i%9))
		if !r.Accepted() {
			t.Fatalf("%+v", r)
		}
	}
	return p
}

// reopened gives the policy as a store that restarts, or one that takes another's
// copy, reads it.
func reopened(t *testing.T, p *Policy) *Policy {
	t.Helper()
	q, err := Open(p.Pack(true))
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// A change is acknowledged, its answer is lost, and its copy comes after hundreds
// of others and a restart.
func TestACopyOfAnAcceptedChangeIsAcknowledgedLater(t *testing.T) {
	is := is.New(t)
	conditional := `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`
	p, _ := change(t, empty(t), "make", service)
	p, first := change(t, p, "order", conditional)
	is.True(first.Accepted())
	p, second := change(t, p, "after", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	is.True(second.Accepted())
	p, removed := change(t, p, "removal", `{"kind":"service","name":"ledger","version":3,"remove":true}`)
	is.True(removed.Accepted())
	p = reopened(t, others(t, p, 300))
	for id, parts := range map[string]string{"order": conditional, "make": service, "removal": `{"kind":"service","name":"ledger","version":3,"remove":true}`} {
		q, r := change(t, p, id, parts)
		is.True(r.Accepted())
		is.True(q == p)
	}
	_, r := change(t, p, "order", conditional)
	is.Equal(r.Revision, first.Revision)
}

// What made an item's present version, or removed it, is known for ever.
func TestAnItemKnowsTheChangeThatMadeIt(t *testing.T) {
	is := is.New(t)
	p, made := change(t, empty(t), "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	p, _ = change(t, p, "x", `{"kind":"service","name":"gone","put":{}}`)
	p, _ = change(t, p, "removal", `{"kind":"service","name":"gone","remove":true}`)
	p = reopened(t, others(t, p, mostChanges+dropAtOnce))
	is.True(p.history().Forgotten > 3)
	_, r := change(t, p, "order", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	is.True(r.Accepted())
	is.Equal(r.Revision, made.Revision)
	q, r := change(t, p, "removal", `{"kind":"service","name":"gone","remove":true}`)
	is.True(r.Accepted())
	is.True(q == p)
}

// Where the end of a change is forgotten, its copy gets no clear answer; where it
// can't have been accepted, it is refused as ever.
func TestAForgottenChangeGetsNoClearAnswer(t *testing.T) {
	is := is.New(t)
	p, _ := change(t, empty(t), "1", service)
	p, _ = change(t, p, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	p, _ = change(t, p, "3", `{"kind":"service","name":"ledger","version":2,"put":{"tier":4}}`)
	p = reopened(t, others(t, p, mostChanges+dropAtOnce))
	q, r := change(t, p, "2", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(r.Unknown != "" && !r.Accepted())
	is.True(q == p)
	// An unconditional one isn't made again either, if its id tells its age.
	q, r = change(t, p, string(ChangeIDAt(2, "abc")), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(r.Unknown != "")
	is.True(q == p)
	_, r = change(t, p, string(ChangeIDAt(p.Revision, "abc")), `{"kind":"service","name":"ledger","put":{"tier":5}}`)
	is.True(r.Accepted())
	// Two operators had read version 2, and one was quicker, long ago.
	_, r = change(t, p, "slow", `{"kind":"service","name":"ledger","version":2,"put":{"tier":6}}`)
	is.Equal(len(r.Stale), 1)
	// Nothing of that name ever was.
	_, r = change(t, p, "slip", `{"kind":"service","name":"legder","remove":true}`)
	is.Equal(len(r.Missing), 1)
	is.True(p.history().Changes.count() <= mostChanges)
}

// Two operators take the same id for two changes: one of them isn't in force, so
// it isn't confirmed.
func TestAnIDStandsForOneChange(t *testing.T) {
	is := is.New(t)
	p, r := change(t, empty(t), "release-7", `{"kind":"service","name":"ledger","put":{"tier":8,"circuits":2}}`)
	is.True(r.Accepted())
	q, r := change(t, p, "release-7", `{"kind":"service","name":"ledger","put":{"tier":7,"circuits":2}}`)
	is.Equal(len(r.Conflicts), 1)
	is.True(q == p)
	q, r = change(t, p, "release-7", `{"name":"ledger","put":{ "circuits": 2, "tier": 8 },"kind":"service"}`)
	is.True(r.Accepted())
	is.True(q == p)
}

// A change that was declined stays so after hundreds of other declined ones.
func TestADeclinedChangeStaysDeclinedForLong(t *testing.T) {
	is := is.New(t)
	remove := `{"kind":"service","name":"ledger","remove":true}`
	p, r := change(t, empty(t), "early", remove)
	is.Equal(len(r.Missing), 1)
	for i := range 2 * mostDeclined {
		p, _ = change(t, p, fmt.Sprintf("d%d", i), `{"kind":"route","name":"none","remove":true}`)
	}
	p, _ = change(t, p, "make", service)
	q, r := change(t, reopened(t, p), "early", remove)
	is.True(!r.Accepted())
	is.Equal(len(r.Faults), 0) // a valid change isn't called invalid
	is.Equal(len(q.Services), 1)
}

// Two operators send two contents of one version: one is confirmed, the other is
// refused with the reason, and each gets the same answer to its copies.
func TestOneVersionHasOneContent(t *testing.T) {
	is := is.New(t)
	base, _ := empty(t).Merge(merging(givenService("wader", 1), givenService("plover", 1)))
	one, other := givenRoute("mud", "wader", 5), givenRoute("mud", "plover", 5)
	p, r := base.Merge(merging(one))
	is.True(r.Accepted())
	refused := []Fault{{"route/mud", "version", reasonOtherValue}}
	q, r := p.Merge(merging(other, givenRoute("sand", "plover", 5)))
	is.Equal(r.Conflicts, refused)
	is.True(q == p) // whole or nothing
	_, r = p.Merge(merging(gone("route", "mud", 5)))
	is.Equal(r.Conflicts, refused)
	// So it is once both are overtaken, and once the item is removed.
	for _, next := range []Given{givenRoute("mud", "plover", 9), gone("route", "mud", 11)} {
		p, _ = p.Merge(merging(next))
		p = reopened(t, p)
		q, r = p.Merge(merging(one))
		is.True(r.Accepted())
		is.True(q == p)
		q, r = p.Merge(merging(other))
		is.Equal(r.Conflicts, refused)
		is.True(q == p)
	}
	// Both in one call.
	_, r = base.Merge(merging(one, other))
	is.Equal(r.Conflicts, refused)
}

// The same content in another spelling is the same content.
func TestSpellingIsNoContent(t *testing.T) {
	is := is.New(t)
	spelled := func(source string) Given {
		g := givenService("wader", 3)
		g.Source = json.RawMessage(source)
		return g
	}
	p, _ := empty(t).Merge(merging(spelled(`{"a":"\u00e4<","n":4.0,"list":[1,2],"big":9007199254740993}`)))
	p = reopened(t, p)
	q, r := p.Merge(merging(spelled(`{ "list":[1, 2], "big":9007199254740993, "n":4, "a":"ä\u003c" }`)))
	is.True(r.Accepted())
	is.True(q == p)
	for _, differs := range []string{
		`{"a":"ä<","n":4,"list":[2,1],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2],"big":9007199254740992}`,
		`{"a":"ä<","n":"4","list":[1,2],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2]}`,
	} {
		_, r = p.Merge(merging(spelled(differs)))
		is.Equal(len(r.Conflicts), 1)
	}
}

// A policy from before there was a history: what its results tell is known, and
// nothing is taken for certain beyond them.
func TestAnOldPolicyIsRead(t *testing.T) {
	is := is.New(t)
	p, _ := change(t, empty(t), "first", service)
	p, _ = change(t, p, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	p = others(t, p, mostRecent)
	p.History = nil
	for n, it := range p.Services {
		it.By, it.Prev, it.Given = "", 0, false
		p.Services[n] = it
	}
	p = reopened(t, p)
	_, r := change(t, p, "second", `{"kind":"service","name":"ledger","version":1,"put":{"tier":3}}`)
	is.True(r.Unknown != "")
	last := p.Recent[len(p.Recent)-1]
	_, r = change(t, p, string(last.ID), `{"kind":"service","name":"busy","put":{}}`)
	is.Equal(r, last)
}
