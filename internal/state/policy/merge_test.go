package policy

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func givenService(name string, v ids.Revision) Given {
	return Given{Kind: "service", Name: ids.Name(name), Version: v, Body: json.RawMessage(`{"circuits":9}`), Source: json.RawMessage(fmt.Sprintf(`{"called": %q,  "v":%d}`, name, v))}
}

func givenRoute(name, service string, v ids.Revision) Given {
	body := fmt.Sprintf(`{"host":"tern.example","prefix":"/%s/","service":%q,"repeatable":true}`, name, service)
	return Given{Kind: "route", Name: ids.Name(name), Version: v, Body: json.RawMessage(body), Source: json.RawMessage(fmt.Sprintf(`{"n":%q, "to" : %q}`, name, service))}
}

func gone(kind, name string, v ids.Revision) Given {
	return Given{Kind: kind, Name: ids.Name(name), Version: v, Removed: true}
}

func merging(items ...Given) Merge { return Merge{Items: items} }

func empty(t *testing.T) *Policy {
	t.Helper()
	p, err := Open(nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestTheHighestVersionHolds(t *testing.T) {
	is := is.New(t)
	p, r := empty(t).Merge(merging(givenService("wader", 7), givenRoute("mud", "wader", 7)))
	is.True(r.Accepted())
	is.Equal(r.Revision, ids.Revision(1))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7))
	is.Equal(r.Items, []Touched{{"service", "wader", 7}, {"route", "mud", 7}})
	// Equal and lower ones succeed, name what holds, and change nothing at all.
	for _, v := range []ids.Revision{7, 6, 0} {
		q, r := p.Merge(merging(givenRoute("mud", "wader", v)))
		is.True(q == p)
		is.True(r.Accepted())
		is.Equal(r.Revision, p.Revision)
		is.Equal(r.Items, []Touched{{"route", "mud", 7}})
	}
	// Steps may be uneven, and one item may be newer beside one that is older.
	q, r := p.Merge(merging(givenRoute("mud", "wader", 40), givenService("wader", 3)))
	is.True(r.Accepted())
	is.Equal(q.Routes["mud"].Version, ids.Revision(40))
	is.Equal(q.Services["wader"].Version, ids.Revision(7))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7)) // the old policy is as it was
	// Version 0 is one too, where there is none.
	q, r = q.Merge(merging(givenService("plover", 0)))
	is.True(r.Accepted())
	_, ok := q.Services["plover"]
	is.True(ok)
}

// Whatever the order in which calls arrive, and however often, the same holds.
func TestCallsCommute(t *testing.T) {
	is := is.New(t)
	base, _ := empty(t).Merge(merging(givenService("wader", 1), givenService("plover", 1)))
	calls := []Merge{
		merging(givenRoute("mud", "wader", 2)),
		merging(givenRoute("mud", "plover", 5), givenRoute("sand", "wader", 5)),
		merging(gone("route", "mud", 9), givenRoute("sand", "plover", 3)),
		merging(givenRoute("mud", "wader", 8)),
		merging(gone("route", "sand", 4)),
	}
	var play func(p *Policy, left []int)
	runs := 0
	play = func(p *Policy, left []int) {
		if len(left) == 0 {
			runs++
			_, there := p.Routes["mud"]
			is.True(!there)
			is.Equal(p.Removed["route/mud"].Version, ids.Revision(9))
			is.Equal(string(p.Routes["sand"].Source), `{"n":"sand", "to" : "wader"}`)
			return
		}
		for i, n := range left {
			next, r := p.Merge(calls[n])
			is.True(r.Accepted())
			again, r := next.Merge(calls[n]) // resent at once
			is.True(r.Accepted())
			is.True(again == next)
			rest := append(append([]int{}, left[:i]...), left[i+1:]...)
			play(next, rest)
		}
	}
	play(base, []int{0, 1, 2, 3, 4})
	is.Equal(runs, 120)
}

func TestWhatIsRemovedStaysSo(t *testing.T) {
	is := is.New(t)
	p, _ := empty(t).Merge(merging(givenService("wader", 1), givenRoute("mud", "wader", 4)))
	p, r := p.Merge(merging(gone("route", "mud", 6)))
	is.True(r.Accepted())
	is.Equal(r.Items, []Touched{{"route", "mud", 6}})
	is.Equal(len(p.Routes), 0)
	// A copy that is older, or as old, doesn't bring it back; nor does a reopened
	// policy forget it.
	p, err := Open(p.Pack(false))
	is.NoErr(err)
	for _, v := range []ids.Revision{4, 5} {
		q, r := p.Merge(merging(givenRoute("mud", "wader", v)))
		is.True(r.Accepted())
		is.True(q == p)
	}
	// The number of the removal is taken: it can't stand for an item as well.
	q, r := p.Merge(merging(givenRoute("mud", "wader", 6)))
	is.Equal(r.Conflicts, []Fault{{"route/mud", "version", reasonOtherValue}})
	is.True(q == p)
	q, r = p.Merge(merging(gone("route", "mud", 6)))
	is.True(r.Accepted())
	is.True(q == p)
	p, _ = p.Merge(merging(givenRoute("mud", "wader", 7)))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7))
	is.Equal(len(p.Removed), 0)
	// One that never was there can be removed beforehand.
	p, r = p.Merge(merging(gone("route", "early", 3)))
	is.True(r.Accepted())
	p, _ = p.Merge(merging(givenRoute("early", "wader", 2)))
	_, there := p.Routes["early"]
	is.True(!there)
	// A removal that is overtaken removes nothing.
	p, _ = p.Merge(merging(gone("route", "mud", 7)))
	_, there = p.Routes["mud"]
	is.True(there)
}

func TestMergingsAreWholeOrNothing(t *testing.T) {
	is := is.New(t)
	p, _ := empty(t).Merge(merging(givenService("wader", 1), givenRoute("mud", "wader", 4)))
	body := func(kind, raw string) Given {
		return Given{Kind: kind, Name: "odd", Version: 50, Body: json.RawMessage(raw)}
	}
	for name, bad := range map[string]Given{
		"unknown kind":      body("shop", `{}`),
		"no name":           {Kind: "service", Version: 50, Body: json.RawMessage(`{}`)},
		"long name":         {Kind: "service", Name: ids.Name(make([]byte, 257)), Version: 50, Body: json.RawMessage(`{}`)},
		"broken":            body("service", `{"tier":`),
		"no body":           {Kind: "service", Name: "odd", Version: 50},
		"no object":         body("service", `7`),
		"unknown path":      body("service", `{"colour":1}`),
		"out of bounds":     body("service", `{"tier":10}`),
		"no service":        body("route", `{"prefix":"/x/","repeatable":true}`),
		"empty service":     body("route", `{"prefix":"/x/","repeatable":true,"service":""}`),
		"unknown service":   givenRoute("odd", "nobody", 50),
		"no weight":         body("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":0}]}`),
		"unknown in split":  body("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":1},{"service":"nobody","weight":0}]}`),
		"prefix no path":    body("route", `{"prefix":"x/","repeatable":true,"service":"wader"}`),
		"service in use":    gone("service", "wader", 50),
		"overtaken unknown": givenRoute("mud", "nobody", 2),
	} {
		q, r := p.Merge(merging(givenService("plover", 50), givenRoute("sand", "plover", 50), bad))
		if r.Accepted() || len(r.Faults) == 0 {
			t.Errorf("%s: accepted", name)
		}
		if q != p || string(q.Pack(true)) != string(p.Pack(true)) {
			t.Errorf("%s: something changed", name)
		}
		is.Equal(len(r.Items), 0)
	}
	// A route may come with its service, and both may go in one call.
	q, r := p.Merge(merging(givenRoute("sand", "plover", 50), givenService("plover", 50)))
	is.True(r.Accepted())
	_, r = q.Merge(merging(gone("service", "plover", 51), gone("route", "sand", 51)))
	is.True(r.Accepted())
}

func TestAMergingIsBounded(t *testing.T) {
	is := is.New(t)
	faults := Merge{Items: make([]Given, mostGiven+1)}.Check()
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Item, "items")
}

// What the operators of our own interface do to merged items goes on from the
// version that holds, never back.
func TestOwnChangesNeverGoBackInVersion(t *testing.T) {
	is := is.New(t)
	p, _ := empty(t).Merge(merging(givenService("wader", 100), givenRoute("mud", "wader", 100)))
	p, r := change(t, p, "1", `{"kind":"service","name":"wader","set":{"tier":7}}`)
	is.True(r.Accepted())
	is.Equal(p.Services["wader"].Version, ids.Revision(101))
	q, _ := p.Merge(merging(givenService("wader", 101)))
	is.True(q == p)
	p, r = change(t, p, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(r.Accepted())
	is.Equal(p.Removed["route/mud"].Version, ids.Revision(101))
	q, _ = p.Merge(merging(givenRoute("mud", "wader", 101)))
	is.True(q == p)
	p, r = change(t, p, "3", `{"kind":"route","name":"mud","put":{"prefix":"/mud","service":"wader","repeatable":true}}`)
	is.True(r.Accepted())
	is.Equal(p.Routes["mud"].Version, ids.Revision(102))
	p, _ = p.Merge(merging(givenRoute("mud", "wader", 103)))
	is.Equal(p.Routes["mud"].Version, ids.Revision(103))
}

// An item that our own interface changed, and then removes, was merged once:
// the copies of its caller must not bring it back.
func TestOwnChangeThenRemovalOfAMergedItem(t *testing.T) {
	is := is.New(t)
	p, _ := empty(t).Merge(merging(givenService("wader", 100), givenRoute("mud", "wader", 100)))
	p, r := change(t, p, "1", `{"kind":"route","name":"mud","set":{"tier":3}}`)
	is.True(r.Accepted())
	p, r = change(t, p, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(r.Accepted())
	q, _ := p.Merge(merging(givenRoute("mud", "wader", 100)))
	is.True(q == p)
}

func TestSourceIsKeptToTheByte(t *testing.T) {
	is := is.New(t)
	odd := `{ "z" : 1.50 , "a":"\u00e4ä",	"list":[ 1,2 ],"big":12345678901234567890 }`
	g := givenService("wader", 1)
	g.Source = json.RawMessage(odd)
	raw, err := json.Marshal(merging(g))
	is.NoErr(err)
	out, _ := mergeOp(Key, nil, raw)
	p, err := Open(out)
	is.NoErr(err)
	p, err = Open(p.Pack(false))
	is.NoErr(err)
	var want, got any
	is.NoErr(json.Unmarshal([]byte(odd), &want))
	is.NoErr(json.Unmarshal(p.Services["wader"].Source, &got))
	is.Equal(got, want)
	is.Equal(string(p.Services["wader"].Source), `{"z":1.50,"a":"\u00e4ä","list":[1,2],"big":12345678901234567890}`) // but for blanks between
}
