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

// Targets in flight must not be sent again in every push, which would congest a slow link.
func TestDistributor_DoesNotResendInFlightTargets(t *testing.T) {
	is := is.New(t)
	d := New(7, &event.Outbox{})
	d.InitialRetryTimeout = 400 * time.Millisecond
	proxies := oneProxy()
	announced := []targets.Target{{Instance: "a", Sequence: 1}}
	content := Content{Revision: 1, Configuration: fixedConfiguration("p"), Version: 1, Targets: listOf(&announced)}
	sent := func(ms int) (instances []ids.InstanceID, configurationBytes int) {
		for _, push := range distribute(d, at(ms), proxies, content) {
			configurationBytes += len(push.Configuration)
			for _, target := range push.Targets {
				instances = append(instances, target.Instance)
			}
		}
		return instances, configurationBytes
	}
	instances, configurationBytes := sent(0)
	is.Equal(instances, []ids.InstanceID{"a"})
	is.Equal(configurationBytes, 1)
	// Each round adds a target, which is sent once.
	for i, instance := range []ids.InstanceID{"b", "c", "d"} {
		announced = append(announced, targets.Target{Instance: instance, Sequence: 1})
		content.Version++
		instances, configurationBytes = sent(50 * (i + 1))
		is.Equal(instances, []ids.InstanceID{instance})
		is.Equal(configurationBytes, 0)
	}
	// Nothing is acknowledged, so everything is sent again with exponential backoff.
	instances, configurationBytes = sent(1000)
	is.Equal(len(instances), 4)
	is.Equal(configurationBytes, 1)
	instances, _ = sent(1100)
	is.Equal(len(instances), 0)
	instances, _ = sent(3000)
	is.Equal(len(instances), 4)
}

// A backup registry must delay usable targets, and not send them if the proxy has received them from
// the other registry.
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
	is.Equal(sent(800), 2) // the delay has passed, and the proxy hasn't confirmed the targets
	announced[1].Draining, announced[1].Sequence = true, 2
	content.Version++
	is.Equal(sent(900), 1) // a draining target isn't delayed
	announced[0].Sequence = 2
	content.Version++
	is.Equal(sent(950), 0)
	is.True(!d.IsCurrent("c1", 1))
	d.ConfirmTargets("c1", 1, announced)
	is.True(d.IsCurrent("c1", 1))
	is.Equal(sent(2500), 0)
}
