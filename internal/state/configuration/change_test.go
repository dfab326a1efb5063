package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestApply_IsAtomic(t *testing.T) {
	is := is.New(t)
	d, res := applyChange(t, emptyDocument(t), "1", putLedgerService+","+putOrdersRoute)
	is.True(res.Accepted())
	is.Equal(d.Revision, res.Revision)
	is.Equal(string(d.Services["ledger"].Body), `{"tier":8}`) // without defaults filled in
	// A duplicate returns the first result and creates no revision.
	same, again := applyChange(t, d, "1", putLedgerService+","+putOrdersRoute)
	is.Equal(again, res)
	is.Equal(same, d)
	// One version conflict rejects the whole change, and the result has the current version.
	next, res := applyChange(t, d, "2", `{"kind":"service","name":"new","put":{}},{"kind":"route","name":"orders","version":9,"put":{"prefix":"/o","service":"ledger","repeatable":true}}`)
	is.Equal(string(next.Encode(false)), string(d.Encode(false)))
	is.Equal(res.VersionConflicts[0].Version, d.Routes["orders"].Version)
	// A service can't be removed while a route references it.
	_, res = applyChange(t, d, "3", `{"kind":"service","name":"ledger","remove":true}`)
	is.Equal(res.Violations, []Violation{{"route/orders", "service", `there is no service "ledger"`}})
	next, res = applyChange(t, d, "4", `{"kind":"service","name":"ledger","remove":true},{"kind":"route","name":"orders","remove":true}`)
	is.True(res.Accepted())
	is.Equal(len(next.Services)+len(next.Routes), 0)
	_, res = applyChange(t, next, "5", `{"kind":"cell","name":"nowhere","remove":true}`)
	is.Equal(len(res.MissingItems), 1)
	// A recreated item never reuses a version.
	remade, res := applyChange(t, next, "6", putLedgerService)
	is.True(res.Accepted())
	is.True(remade.Services["ledger"].Version > d.Services["ledger"].Version)
	_, res = applyChange(t, remade, "7", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	is.Equal(len(res.VersionConflicts), 1)
}

// A duplicate of a rejected change is rejected too, even if the change has become valid.
func TestApply_RejectedChangeStaysRejected(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	remove := `{"kind":"service","name":"ledger","remove":true}`
	d, res := applyChange(t, d, "1", remove)
	is.Equal(len(res.MissingItems), 1)
	d, res = applyChange(t, d, "2", putLedgerService)
	is.True(res.Accepted())
	d, res = applyChange(t, d, "1", remove)
	is.Equal(len(res.MissingItems), 1)
	is.Equal(len(d.Services), 1)
	// The number of retained results is bounded, and they aren't sent to other daemons.
	for i := range 3 * maxRejectedResults {
		d, _ = applyChange(t, d, fmt.Sprintf("d%d", i), `{"kind":"route","name":"none","remove":true}`)
	}
	is.Equal(len(d.RejectedResults), maxRejectedResults)
	is.True(!strings.Contains(string(d.Encode(false)), "declined"))
}

func TestApply_SetKeepsOtherFields(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	d, res := applyChange(t, d, "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south"}}`)
	is.True(res.Accepted())
	d, res = applyChange(t, d, "2", `{"kind":"cell","name":"a","set":{"emptied":true}}`)
	is.True(res.Accepted())
	v := d.View().Zones["a"]
	is.True(v.Drained && v.TargetLoad == 100 && v.Region == "south")
	_, res = applyChange(t, d, "3", `{"kind":"cell","name":"a","set":{"emptied":"yes"}}`)
	is.Equal(res.Violations, []Violation{{"cell/a", "emptied", "must be true or false"}})
}

func TestApply_RejectsSecondRouteWithSamePrefix(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	d, _ = applyChange(t, d, "1", putLedgerService+","+putOrdersRoute)
	_, res := applyChange(t, d, "2", `{"kind":"route","name":"more","put":{"prefix":"/orders/","service":"ledger","repeatable":true}}`)
	is.Equal(len(res.Violations), 1)
}

// Two merged routes with the same host and prefix are no violation of later changes, even
// if they have no source.
func TestApply_AllowsMergedRoutesWithSamePrefix(t *testing.T) {
	is := is.New(t)
	a, b := versionedRoute("mud", "wader", 1), versionedRoute("mud", "wader", 1)
	b.Name, a.Source, b.Source = "sand", nil, nil
	d, res := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), a, b))
	is.True(res.Accepted())
	_, res = applyChange(t, d, "1", putLedgerService)
	is.True(res.Accepted())
}

// A Change of a merged item continues from the version that the Merge assigned, so that a
// delayed Merge doesn't overwrite it.
func TestApply_VersionOfMergedItemNeverDecreases(t *testing.T) {
	is := is.New(t)
	d, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 100), versionedRoute("mud", "wader", 100)))
	d, res := applyChange(t, d, "1", `{"kind":"service","name":"wader","set":{"tier":7}}`)
	is.True(res.Accepted())
	is.Equal(d.Services["wader"].Version, ids.Revision(101))
	next, _ := d.Merge(mergeOf(versionedService("wader", 101)))
	is.True(next == d)
	d, res = applyChange(t, d, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(res.Accepted())
	is.Equal(d.Tombstones["route/mud"].Version, ids.Revision(101))
	next, _ = d.Merge(mergeOf(versionedRoute("mud", "wader", 101)))
	is.True(next == d)
	d, res = applyChange(t, d, "3", `{"kind":"route","name":"mud","put":{"prefix":"/mud","service":"wader","repeatable":true}}`)
	is.True(res.Accepted())
	is.Equal(d.Routes["mud"].Version, ids.Revision(102))
	d, _ = d.Merge(mergeOf(versionedRoute("mud", "wader", 103)))
	is.Equal(d.Routes["mud"].Version, ids.Revision(103))
}
