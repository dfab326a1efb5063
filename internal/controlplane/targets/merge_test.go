package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Merging must keep the later of two updates of a target, in whatever order they arrive.
func TestTable_MergeKeepsLatestUpdate(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 4))), 0) // out of order
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // repeated
	dead := newTarget("a", 1, 5)
	dead.Dead = true
	is.Equal(len(table.Merge(at(0), dead)), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // remains dead
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 6))), 1) // until the next heartbeat
	is.Equal(len(table.Merge(at(0), newTarget("a", 0, 99))), 0)
	table.Merge(at(4*time.Second), newTarget("a", 2, 1))
	got, _ := table.Get(at(5*time.Second), "a")
	is.Equal(got.AgeMillis, uint64(1000)) // the age restarts with a new incarnation
}

// A target that takes over an address must displace the previous one.
func TestTable_NewOwnerOfAddressDisplacesPrevious(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	other := newTarget("b", 1, 1)
	other.Address = "10.0.0.1:a"
	changed := table.Merge(at(1), other)
	is.Equal(len(changed), 2)
	is.True(changed[1].Instance == "a" && changed[1].Dead)
}
