package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// What is in flight isn't sent again with every push: on a thin link, where an
// acknowledgement takes half a second, that was a storm.
func TestDistributor_DoesNotResendInFlightTargets(t *testing.T) {
	is := is.New(t)
	var out event.Outbox
	r := New(7, &out)
	r.InitialRetryTimeout = 400 * time.Millisecond
	c := []membership.Member{{ID: "c1", Address: "c1", RunID: 1}}
	announced := []targets.Target{{Instance: "a", Sequence: 1}}
	load := Content{Revision: 1, Configuration: func(ids.Revision) []byte { return []byte("p") }, Version: 1, Targets: func() []targets.Target { return announced }}
	sent := func(ms int) (names []ids.InstanceID, configurations int) {
		r.Distribute(at(ms), c, load)
		for _, x := range out.Drain() {
			p := x.(event.Send).Msg.(Push)
			configurations += len(p.Configuration)
			for _, t := range p.Targets {
				names = append(names, t.Instance)
			}
		}
		return names, configurations
	}
	names, configurations := sent(0)
	is.Equal(names, []ids.InstanceID{"a"})
	is.Equal(configurations, 1)
	// News each moment: each of it goes once.
	for i, n := range []ids.InstanceID{"b", "c", "d"} {
		announced = append(announced, targets.Target{Instance: n, Sequence: 1})
		load.Version++
		names, configurations = sent(50 * (i + 1))
		is.Equal(names, []ids.InstanceID{n})
		is.Equal(configurations, 0)
	}
	// Nothing came back: all of it again, and again, ever more slowly.
	names, configurations = sent(1000)
	is.Equal(len(names), 4)
	is.Equal(configurations, 1)
	names, _ = sent(1100)
	is.Equal(len(names), 0)
	names, _ = sent(3000)
	is.Equal(len(names), 4)
}

// Where another registry delivers first, what isn't urgent waits for it, and an
// acknowledgement that shows the same targets settles it.
func TestDistributor_BackupDelaysPushes(t *testing.T) {
	is := is.New(t)
	var out event.Outbox
	r := New(7, &out)
	r.IsBackup = func(membership.Member) bool { return true }
	c := []membership.Member{{ID: "c1", Address: "c1", RunID: 1}}
	announced := []targets.Target{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}
	load := Content{Version: 1, Targets: func() []targets.Target { return announced }}
	sent := func(ms int) (n int) {
		r.Distribute(at(ms), c, load)
		for _, x := range out.Drain() {
			n += len(x.(event.Send).Msg.(Push).Targets)
		}
		return n
	}
	is.Equal(sent(0), 0)
	is.Equal(sent(300), 0)
	is.Equal(sent(800), 2) // nobody showed that it has them
	announced[1].Leaving, announced[1].Sequence = true, 2
	load.Version++
	is.Equal(sent(900), 1) // what leaves can't wait
	announced[0].Sequence = 2
	load.Version++
	is.Equal(sent(950), 0)
	is.True(!r.IsCurrent("c1", 1))
	r.ConfirmTargets("c1", 1, announced)
	is.True(r.IsCurrent("c1", 1))
	is.Equal(sent(2500), 0)
}
