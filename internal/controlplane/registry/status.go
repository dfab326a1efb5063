package registry

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
)

// majorityWarningAge is the age of the last quorum read above which Status warns that no
// majority of stores can be reached.
const majorityWarningAge = 5 * time.Second

// Values of DaemonStatus.State.
const (
	daemonReady    = "ready"
	daemonNotReady = "not ready"
	daemonGone     = "gone"
)

// Values of ZoneStatus.State, in order of precedence.
const (
	zoneDrained          = "emptied"
	zoneNoProxies        = "no proxy"
	zoneStale            = "stale"
	zoneOverMaximum      = "over maximum"
	zoneOverTarget       = "over target"
	zoneBelowAcceptable  = "has room"
	zoneWithinAcceptable = "comfortable"
)

// Status is the state of the cluster as one registry sees it.
type Status struct {
	Registry ids.DaemonID `json:"registry"`
	// QuorumReadAgeMillis is the time since a majority of stores last confirmed the
	// configuration, in milliseconds.
	QuorumReadAgeMillis int64        `json:"agreed_ms_ago"`
	Revision            ids.Revision `json:"revision"`
	// InForce reports whether every live proxy has acknowledged Revision to this registry.
	// A proxy that only other registries push to (Options.Incremental, assignment.go)
	// sends this one no acknowledgements, and so is listed in LaggingProxies.
	InForce        bool               `json:"in_force"`
	LaggingProxies []ids.DaemonID     `json:"behind"`
	Daemons        []DaemonStatus     `json:"daemons"`
	Zones          []ZoneStatus       `json:"cells"`
	Moves          []Move             `json:"moves"`
	Leaderships    []LeadershipStatus `json:"duties"`
	Targets        []targets.Target   `json:"targets"`
	// Warnings lists conditions that need an operator's attention, one line each.
	Warnings []string `json:"problems"`
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	ID      ids.DaemonID `json:"id"`
	Role    string       `json:"role"`
	Zone    ids.Name     `json:"cell"`
	Address ids.Address  `json:"address"`
	HTTP    ids.Address  `json:"http"`
	State   string       `json:"state"`
	// Revision is the configuration revision that the daemon uses; for a live proxy, the
	// one that it has acknowledged.
	Revision ids.Revision `json:"revision"`
	// RunID identifies one run of the daemon, in hexadecimal.
	RunID string `json:"start"`
}

// ZoneStatus is the load of a zone and its levels, in milliseconds of CPU time per second.
type ZoneStatus struct {
	Name       ids.Name `json:"name"`
	Used       float64  `json:"used"`
	Target     float64  `json:"target"`
	Acceptable float64  `json:"acceptable"`
	Maximum    float64  `json:"maximum"`
	// Learned states whether Maximum was learned, or why it wasn't.
	Learned string `json:"learned"`
	State   string `json:"state"`
	// Proxies and Targets count the live proxies and the usable targets.
	Proxies int `json:"proxies"`
	Targets int `json:"targets"`
}

// Move shifts a fraction of a route's new connections from one zone to another.
type Move struct {
	From     ids.Name `json:"from"`
	To       ids.Name `json:"to"`
	Route    ids.Name `json:"route"`
	Fraction float64  `json:"fraction"`
	// Amount is the load that the move is planned to shift, in milliseconds of CPU
	// time per second.
	Amount float64 `json:"amount"`
	Reason string  `json:"why"`
}

// LeadershipStatus is the state of an election as this registry knows it.
type LeadershipStatus struct {
	Name  string    `json:"name"`
	Epoch ids.Epoch `json:"epoch"`
	// Held reports whether this registry leads.
	Held bool `json:"mine"`
	// PlanNumber is the number of the spill table in use.
	PlanNumber uint64 `json:"plan"`
}

// Status returns the state of the cluster as this registry sees it.
func (r *Registry) Status(now ids.Time) Status {
	proxies := r.Live(membership.Proxy)
	revision := r.configuration.view.Revision
	status := Status{
		Registry:            r.Self.ID,
		QuorumReadAgeMillis: now.Sub(r.lease.renewedAt).Milliseconds(),
		Revision:            revision,
		LaggingProxies:      r.Distributor.Lagging(proxies, revision),
		Daemons:             r.daemonStatuses(),
		Zones:               r.zoneStatuses(now, proxies),
		Leaderships: []LeadershipStatus{{
			Name:       plannerElection,
			Epoch:      r.leadership.highestEpoch,
			Held:       r.leadership.leads(),
			PlanNumber: uint64(r.planner.table.Number),
		}},
		Targets: r.Targets.All(now),
	}
	status.InForce = len(status.LaggingProxies) == 0
	for _, move := range r.planner.table.Moves {
		status.Moves = append(status.Moves, Move{
			From: move.From, To: move.To, Route: move.Route,
			Fraction: move.Fraction, Amount: move.PlannedCPU, Reason: move.Reason,
		})
	}
	status.Warnings = status.warnings(r.lease.renewedAt != 0)
	return status
}

// warnings returns the conditions that need an operator's attention; hadQuorumRead reports
// whether a majority of stores was ever reached.
func (s *Status) warnings(hadQuorumRead bool) []string {
	var warnings []string
	if !hadQuorumRead || s.QuorumReadAgeMillis > majorityWarningAge.Milliseconds() {
		warnings = append(warnings, "no majority of stores for "+formatUint(uint64(s.QuorumReadAgeMillis/1000))+" s")
	}
	for _, id := range s.LaggingProxies {
		warnings = append(warnings, "proxy "+string(id)+" lags behind revision "+formatUint(s.Revision))
	}
	for _, daemon := range s.Daemons {
		if daemon.State != daemonReady {
			warnings = append(warnings, daemon.Role+" "+string(daemon.ID)+" is "+daemon.State)
		}
	}
	for _, zone := range s.Zones {
		switch zone.State {
		case zoneOverMaximum, zoneStale, zoneNoProxies:
			warnings = append(warnings, "cell "+string(zone.Name)+": "+zone.State)
		}
	}
	return warnings
}

func (r *Registry) daemonStatuses() []DaemonStatus {
	var statuses []DaemonStatus
	for _, member := range r.All() {
		status := DaemonStatus{
			ID:       member.ID,
			Role:     member.Role.String(),
			Zone:     member.Zone,
			Address:  member.Address,
			HTTP:     member.HTTPAddress,
			State:    daemonState(member),
			Revision: member.Revision,
			RunID:    strconv.FormatUint(uint64(member.RunID), 16),
		}
		if member.Role == membership.Proxy && !member.Dead {
			status.Revision = r.Distributor.AcknowledgedRevision(member)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func daemonState(member membership.Member) string {
	switch {
	case member.Dead:
		return daemonGone
	case !member.Ready:
		return daemonNotReady
	}
	return daemonReady
}

func (r *Registry) zoneStatuses(now ids.Time, proxies []membership.Member) []ZoneStatus {
	proxyCount, targetCount := map[ids.Name]int{}, map[ids.Name]int{}
	for _, proxy := range proxies {
		proxyCount[proxy.Zone]++
	}
	for _, target := range r.Targets.All(now) {
		if target.Usable() {
			targetCount[target.Zone]++
		}
	}
	zones := r.currentZones(now)
	var statuses []ZoneStatus
	for _, name := range sortedNames(zones) {
		zone := zones[name]
		statuses = append(statuses, ZoneStatus{
			Name:       name,
			Used:       zone.UsedCPU(),
			Target:     zone.Target,
			Acceptable: zone.Acceptable,
			Maximum:    zone.Maximum,
			Learned:    r.planner.learnedMaxima[name].Reason,
			State:      zoneState(zone),
			Proxies:    proxyCount[name],
			Targets:    targetCount[name],
		})
	}
	return statuses
}

func zoneState(zone spill.Zone) string {
	switch {
	case zone.Drained:
		return zoneDrained
	case zone.NoProxies:
		return zoneNoProxies
	case zone.Stale:
		return zoneStale
	case zone.UsedCPU() > zone.Maximum:
		return zoneOverMaximum
	case zone.UsedCPU() > zone.Target:
		return zoneOverTarget
	case zone.UsedCPU() < zone.Acceptable:
		return zoneBelowAcceptable
	}
	return zoneWithinAcceptable
}
