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

// pushToProxies pushes what proxies lack.
func (r *Registry) pushToProxies(now ids.Time) {
	r.lastPush = now
	r.Distributor.Distribute(now, r.assignedProxies(now), distribution.Content{
		Revision: r.view.Revision, Configuration: r.configurationDelta,
		Targets: func() []targets.Target { return r.targetsForProxies(now) }, Version: r.targetsVersion()<<20 + uint64(r.view.Revision), ReadAge: r.agreementAge(now),
	})
}

// targetsForProxies gives the targets as proxies are told of them.
func (r *Registry) targetsForProxies(now ids.Time) []targets.Target {
	if r.options.Incremental {
		return r.Targets.ForProxies(now)
	}
	return r.Targets.All(now)
}

// targetsVersion grows with each change of them.
func (r *Registry) targetsVersion() uint64 {
	if r.options.Incremental {
		return r.Targets.ProxyVersion()
	}
	return r.Targets.Version()
}

// configurationDelta gives what leads to the configuration in force from an earlier revision.
func (r *Registry) configurationDelta(from ids.Revision) []byte {
	if from == 0 || !r.options.Incremental {
		if r.encodedConfiguration == nil && r.configuration.Revision > 0 {
			r.encodedConfiguration = r.configuration.Encode(false)
		}
		return r.encodedConfiguration
	}
	if r.configurationDeltas == nil {
		r.configurationDeltas = map[ids.Revision][]byte{}
	}
	if r.configurationDeltas[from] == nil {
		r.configurationDeltas[from] = r.configuration.ChangesSince(from)
	}
	return r.configurationDeltas[from]
}

func (r *Registry) sendTargetsToPeers(list []targets.Target) {
	if len(list) == 0 {
		return
	}
	for _, m := range r.Live(membership.Registry) {
		if m.ID != r.Self.ID {
			r.Send(m.Address, targets.Update{Targets: list})
		}
	}
}

// handleChangedTargets pushes at once what can't wait: a target that leaves or is gone.
func (r *Registry) handleChangedTargets(now ids.Time, changed []targets.Target) {
	for _, t := range changed {
		if !t.Usable() {
			r.Log(event.LevelInfo, "target leaves", "target", string(t.Instance), "address", string(t.Address), "gone", yesNo(t.Gone))
		}
	}
	// What is new or warm again can wait for the others of its moment: told one
	// by one, four hundred targets would be so many pushes to every proxy.
	urgent := !r.options.Incremental
	for _, t := range changed {
		urgent = urgent || !t.Usable() || t.SlowStartMillis > 0
	}
	if len(changed) > 0 && urgent {
		r.pushToProxies(now)
	}
}

// handleChosen takes news of a change.
func (r *Registry) handleChosen(now ids.Time, m consensus.Chosen) {
	if m.Key == configuration.Key {
		r.adoptConfiguration(m.Value)
		r.pushToProxies(now)
	}
}

// handleChosenDifference takes news of a change; where it doesn't lead on from the
// value at hand, that is read anew.
func (r *Registry) handleChosenDifference(now ids.Time, m consensus.ChosenDifference) {
	if m.Key != configuration.Key {
		return
	}
	next, err := delta.Apply(r.registerValue, m.Delta)
	if err != nil {
		r.nextRead = now
		return
	}
	r.adoptConfiguration(next)
	r.pushToProxies(now)
}

// adoptConfiguration takes a chosen configuration if it is newer. It never goes back.
func (r *Registry) adoptConfiguration(value []byte) {
	if len(value) > 0 && bytes.Equal(value, r.registerValue) {
		return
	}
	document, err := configuration.Decode(value)
	if err != nil {
		r.Log(event.LevelError, "policy unreadable", "error", err.Error())
		return
	}
	if document.Revision < r.configuration.Revision {
		return
	}
	r.registerValue, r.registerChecksum = value, consensus.Checksum(value)
	if document.Revision == r.configuration.Revision {
		return
	}
	r.view = document.ViewReusing(r.configuration, r.view)
	r.configuration, r.encodedConfiguration = document, nil
	clear(r.configurationDeltas)
	r.view.SetRegions(r.options.Regions)
	r.Log(event.LevelInfo, "policy", "revision", formatUint(uint64(document.Revision)))
}

// agreementAge tells how old the last agreement on the configuration is.
func (r *Registry) agreementAge(now ids.Time) time.Duration {
	if r.agreedAt == 0 {
		return time.Hour
	}
	return now.Sub(r.agreedAt)
}
