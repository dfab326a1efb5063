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

// What is in flight isn't sent again with every push. On a thin link, where an
// acknowledgement takes half a second, that congested the link.
func TestDistributor_DoesNotResendInFlightTargets(t *testing.T) {
	is := is.New(t)
	d := New(7, &event.Outbox{})
	d.InitialRetryTimeout = 400 * time.Millisecond
	proxies := oneProxy()
	announced := []targets.Target{{Instance: "a", Sequence: 1}}
	content := Content{Revision: 1, Configuration: fixedConfiguration("p"), Version: 1, Targets: listOf(&announced)}
	sent := func(ms int) (names []ids.InstanceID, configurationBytes int) {
		for _, push := range distribute(d, at(ms), proxies, content) {
			configurationBytes += len(push.Configuration)
			for _, target := range push.Targets {
				names = append(names, target.Instance)
			}
		}
		return names, configurationBytes
	}
	names, configurationBytes := sent(0)
	is.Equal(names, []ids.InstanceID{"a"})
	is.Equal(configurationBytes, 1)
	// One more target in each round: each is sent once.
	for i, name := range []ids.InstanceID{"b", "c", "d"} {
		announced = append(announced, targets.Target{Instance: name, Sequence: 1})
		content.Version++
		names, configurationBytes = sent(50 * (i + 1))
		is.Equal(names, []ids.InstanceID{name})
		is.Equal(configurationBytes, 0)
	}
	// Nothing is acknowledged: everything is sent again, with increasing delays.
	names, configurationBytes = sent(1000)
	is.Equal(len(names), 4)
	is.Equal(configurationBytes, 1)
	names, _ = sent(1100)
	is.Equal(len(names), 0)
	names, _ = sent(3000)
	is.Equal(len(names), 4)
}

// A registry that is the backup for a proxy holds usable targets back, and doesn't send
// them if the proxy shows that it has them from the other registry.
func TestDistributor_BackupDelaysPushes(t *testing.T) {
	is := is.New(t)
	d := New(7, &event.Outbox{})
	d.IsBackup = func(membership.Member) bool { return true }
	announced := []targets.Target{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}
	content := Content{Version: 1, Targets: listOf(&announced)}
	sent := func(ms int) (n int) {
		for _, push := range distribute(d, at(ms), oneProxy(), content) {
			n += len(push.Targets)
		}
		return n
	}
	is.Equal(sent(0), 0)
	is.Equal(sent(300), 0)
	is.Equal(sent(800), 2) // the delay is over, and the proxy hasn't shown that it has them
	announced[1].Draining, announced[1].Sequence = true, 2
	content.Version++
	is.Equal(sent(900), 1) // a draining target isn't held back
	announced[0].Sequence = 2
	content.Version++
	is.Equal(sent(950), 0)
	is.True(!d.IsCurrent("c1", 1))
	d.ConfirmTargets("c1", 1, announced)
	is.True(d.IsCurrent("c1", 1))
	is.Equal(sent(2500), 0)
}
