package foreman

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
)

// A foreman reads the policy twice a second. The same again costs next to nothing,
// however large it is.
func TestTheSamePolicyAgainCostsNothing(t *testing.T) {
	is := is.New(t)
	var m catalogue.Merging
	for i := range 1000 {
		m.Items = append(m.Items, catalogue.Given{Kind: "service", Name: ticket.Name(fmt.Sprint("s", i)), Version: 1, Body: json.RawMessage(`{"tier":4}`)})
	}
	p, err := catalogue.Open(nil)
	is.NoErr(err)
	p, r := p.Merge(m)
	is.True(r.Accepted())
	f := New(Params{Params: rollcall.Params{Self: rollcall.Member{ID: "f"}}})
	f.adopt(p.Pack(true))
	is.Equal(f.view.Revision, ticket.Revision(1))
	again := p.Pack(true)
	is.True(testing.AllocsPerRun(10, func() { f.adopt(again) }) < 5)
	// What is newer is taken, and what is older isn't.
	q, _ := p.Merge(catalogue.Merging{Items: []catalogue.Given{{Kind: "service", Name: "s1", Version: 2, Removed: true}}})
	f.adopt(q.Pack(true))
	f.adopt(p.Pack(true))
	is.Equal(f.view.Revision, ticket.Revision(2))
	is.Equal(len(f.view.Services), 999)
}
