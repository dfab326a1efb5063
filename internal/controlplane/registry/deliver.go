package registry

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// deliver pushes what proxies lack.
func (f *Registry) deliver(now ids.Time) {
	f.delivered = now
	f.Distributor.Distribute(now, f.served(now), distribution.Content{
		Revision: f.view.Revision, Configuration: f.difference,
		Targets: func() []targets.Target { return f.forProxies(now) }, Version: f.targetsVersion()<<20 + uint64(f.view.Revision), Age: f.age(now),
	})
}

// forProxies gives the targets as proxies are told of them.
func (f *Registry) forProxies(now ids.Time) []targets.Target {
	if f.options.Incremental {
		return f.Targets.Public(now)
	}
	return f.Targets.All(now)
}

// targetsVersion grows with each change of them.
func (f *Registry) targetsVersion() uint64 {
	if f.options.Incremental {
		return f.Targets.PublicVersion()
	}
	return f.Targets.Version()
}

// difference gives what leads to the configuration in force from an earlier revision.
func (f *Registry) difference(from ids.Revision) []byte {
	if from == 0 || !f.options.Incremental {
		if f.raw == nil && f.configuration.Revision > 0 {
			f.raw = f.configuration.Encode(false)
		}
		return f.raw
	}
	if f.deltas == nil {
		f.deltas = map[ids.Revision][]byte{}
	}
	if f.deltas[from] == nil {
		f.deltas[from] = f.configuration.ChangesSince(from)
	}
	return f.deltas[from]
}

func (f *Registry) tellRegistries(list []targets.Target) {
	if len(list) == 0 {
		return
	}
	for _, m := range f.Live(membership.Registry) {
		if m.ID != f.Self.ID {
			f.Send(m.Address, targets.Update{List: list})
		}
	}
}

// taken pushes at once what can't wait: a target that leaves or is gone.
func (f *Registry) taken(now ids.Time, changed []targets.Target) {
	for _, t := range changed {
		if !t.Usable() {
			f.Log(event.LevelInfo, "target leaves", "target", string(t.Instance), "address", string(t.Address), "gone", yes(t.Gone))
		}
	}
	// What is new or warm again can wait for the others of its moment: told one
	// by one, four hundred targets would be so many pushes to every proxy.
	urgent := !f.options.Incremental
	for _, t := range changed {
		urgent = urgent || !t.Usable() || t.Cold > 0
	}
	if len(changed) > 0 && urgent {
		f.deliver(now)
	}
}

// chosen takes news of a change.
func (f *Registry) chosen(now ids.Time, m consensus.Chosen) {
	if m.Key == configuration.Key {
		f.adopt(m.Value)
		f.deliver(now)
	}
}

// chosenDifference takes news of a change; where it doesn't lead on from the
// value at hand, that is read anew.
func (f *Registry) chosenDifference(now ids.Time, m consensus.ChosenDifference) {
	if m.Key != configuration.Key {
		return
	}
	next, err := delta.Apply(f.whole, m.Delta)
	if err != nil {
		f.poll = now
		return
	}
	f.adopt(next)
	f.deliver(now)
}

// adopt takes a chosen configuration if it is newer. It never goes back.
func (f *Registry) adopt(raw []byte) {
	if len(raw) > 0 && bytes.Equal(raw, f.whole) {
		return
	}
	p, err := configuration.Decode(raw)
	if err != nil {
		f.Log(event.LevelError, "policy unreadable", "error", err.Error())
		return
	}
	if p.Revision < f.configuration.Revision {
		return
	}
	f.whole, f.sum = raw, consensus.Checksum(raw)
	if p.Revision == f.configuration.Revision {
		return
	}
	f.view = p.ViewFrom(f.configuration, f.view)
	f.configuration, f.raw = p, nil
	clear(f.deltas)
	f.view.SetRegions(f.options.Regions)
	f.Log(event.LevelInfo, "policy", "revision", itoa(uint64(p.Revision)))
}

// age tells how old the last agreement on the configuration is.
func (f *Registry) age(now ids.Time) time.Duration {
	if f.agreed == 0 {
		return time.Hour
	}
	return now.Sub(f.agreed)
}
