package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/policy"
)

// A registry reads the policy twice a second. The same again costs next to nothing,
// however large it is.
func TestTheSamePolicyAgainCostsNothing(t *testing.T) {
	is := is.New(t)
	var m policy.Merge
	for i := range 1000 {
		m.Items = append(m.Items, policy.Given{Kind: "service", Name: ids.Name(fmt.Sprint("s", i)), Version: 1, Body: json.RawMessage(`{"tier":4}`)})
	}
	p, err := policy.Open(nil)
	is.NoErr(err)
	p, r := p.Merge(m)
	is.True(r.Accepted())
	f := New(Options{Options: membership.Options{Self: membership.Member{ID: "f"}}})
	f.adopt(p.Pack(true))
	is.Equal(f.view.Revision, ids.Revision(1))
	again := p.Pack(true)
	is.True(testing.AllocsPerRun(10, func() { f.adopt(again) }) < 5)
	// What is newer is taken, and what is older isn't.
	q, _ := p.Merge(policy.Merge{Items: []policy.Given{{Kind: "service", Name: "s1", Version: 2, Removed: true}}})
	f.adopt(q.Pack(true))
	f.adopt(p.Pack(true))
	is.Equal(f.view.Revision, ids.Revision(2))
	is.Equal(len(f.view.Services), 999)
}
