package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A running registrar renews its targets. If it isn't running, they get more time to send a
// heartbeat before they expire.
func TestTable_RegistrarConfirmsItsTargets(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Self = "own"
	table.Merge(at(0), registeredTarget("a", 1, "other"), registeredTarget("b", 1, "own"))
	isRunning := true
	expired := func(from, to time.Duration) (dead []ids.InstanceID) {
		for now := from; now <= to; now += 500 * time.Millisecond {
			table.RenewRegistered(at(now), func(d ids.DaemonID, run ids.RunID) bool { return isRunning && d == "other" && run == 1 })
			for _, target := range table.Tick(at(now)) {
				dead = append(dead, target.Instance)
			}
		}
		return dead
	}
	// The target that registered with this registry expires; the other registry's is renewed.
	is.Equal(expired(0, 20*time.Second), []ids.InstanceID{"b"})
	isRunning = false
	is.Equal(len(expired(20500*time.Millisecond, 29500*time.Millisecond)), 0)
	is.Equal(expired(30*time.Second, 31*time.Second), []ids.InstanceID{"a"})
}

// A copy that received a later heartbeat than the one that a declaration of death is based on must
// refute the declaration.
func TestTable_LaterHeartbeatRefutesDeath(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), registeredTarget("a", 4, "other"))
	death := registeredTarget("a", 4, "other")
	death.Dead = true
	table.Merge(at(time.Second), registeredTarget("a", 6, "other")) // changes nothing, so it isn't forwarded
	refutation := table.Merge(at(time.Second), death)
	is.Equal(len(refutation), 1)
	is.True(!refutation[0].Dead)
	is.Equal(refutation[0].Sequence, ids.Sequence(6))
	// The refutation replaces the declaration in other copies.
	other := newIncrementalTable()
	other.Merge(at(0), registeredTarget("a", 4, "other"))
	other.Merge(at(0), death)
	is.Equal(len(other.Merge(at(time.Second), refutation...)), 1)
	got, _ := other.Get(at(time.Second), "a")
	is.True(got.Usable())
	// A copy without a later heartbeat accepts the declaration.
	is.True(other.Digest() == table.Digest())
	later := registeredTarget("a", 6, "other")
	later.Dead = true
	is.Equal(len(table.Merge(at(2*time.Second), later)), 1)
	is.True(other.Digest() != table.Digest())
}
