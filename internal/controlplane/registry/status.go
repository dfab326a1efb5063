package registry

import (
	"strconv"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
)

// Status is what an operator at night needs on one page.
type Status struct {
	Registry           ids.DaemonID       `json:"registry"`
	AgreementAgeMillis int64              `json:"agreed_ms_ago"`
	Revision           ids.Revision       `json:"revision"`
	InForce            bool               `json:"in_force"`
	LaggingProxies     []ids.DaemonID     `json:"behind"`
	Daemons            []DaemonStatus     `json:"daemons"`
	Zones              []ZoneStatus       `json:"cells"`
	Moves              []Move             `json:"moves"`
	Leaderships        []LeadershipStatus `json:"duties"`
	Targets            []targets.Target   `json:"targets"`
	Warnings           []string           `json:"problems"`
}

// DaemonStatus is one of our processes.
type DaemonStatus struct {
	ID       ids.DaemonID `json:"id"`
	Role     string       `json:"role"`
	Zone     ids.Name     `json:"cell"`
	Address  ids.Address  `json:"address"`
	HTTP     ids.Address  `json:"http"`
	State    string       `json:"state"`
	Revision ids.Revision `json:"revision"`
	// RunID tells one run of the daemon from another.
	RunID string `json:"start"`
}

// ZoneStatus is a zone with its levels, in ms of CPU a second.
type ZoneStatus struct {
	Name       ids.Name `json:"name"`
	Used       float64  `json:"used"`
	Target     float64  `json:"target"`
	Acceptable float64  `json:"acceptable"`
	Maximum    float64  `json:"maximum"`
	Learned    string   `json:"learned"`
	State      string   `json:"state"`
	Proxies    int      `json:"proxies"`
	Targets    int      `json:"targets"`
}

// Move is a share of fresh connections under way, and why.
type Move struct {
	From     ids.Name `json:"from"`
	To       ids.Name `json:"to"`
	Route    ids.Name `json:"route"`
	Fraction float64  `json:"fraction"`
	Amount   float64  `json:"amount"`
	Reason   string   `json:"why"`
}

// LeadershipStatus is a one-daemon duty as this registry knows it.
type LeadershipStatus struct {
	Name       string    `json:"name"`
	Epoch      ids.Epoch `json:"epoch"`
	Held       bool      `json:"mine"`
	PlanNumber uint64    `json:"plan"`
}

func zoneState(zone spill.Zone) string {
	switch {
	case zone.Drained:
		return "emptied"
	case zone.NoProxies:
		return "no proxy"
	case zone.Stale:
		return "stale"
	case zone.Used() > zone.Maximum:
		return "over maximum"
	case zone.Used() > zone.Target:
		return "over target"
	case zone.Used() < zone.Acceptable:
		return "has room"
	}
	return "comfortable"
}

// Status gathers how things stand, as this registry sees them.
func (r *Registry) Status(now ids.Time) Status {
	proxies := r.Live(membership.Proxy)
	status := Status{
		Registry: r.Self.ID, Revision: r.view.Revision, AgreementAgeMillis: now.Sub(r.agreedAt).Milliseconds(),
		LaggingProxies: r.Distributor.Lagging(proxies, r.view.Revision), Targets: r.Targets.All(now),
		Leaderships: []LeadershipStatus{{"planner", r.highestEpoch, r.ownEpoch != 0, uint64(r.spillTable.Number)}},
	}
	status.InForce = len(status.LaggingProxies) == 0
	if r.agreedAt == 0 || status.AgreementAgeMillis > 5000 {
		status.Warnings = append(status.Warnings, "no majority of stores for "+formatUint(uint64(status.AgreementAgeMillis/1000))+" s")
	}
	for _, id := range status.LaggingProxies {
		status.Warnings = append(status.Warnings, "proxy "+string(id)+" lags behind revision "+formatUint(uint64(r.view.Revision)))
	}
	for _, m := range r.All() {
		d := DaemonStatus{ID: m.ID, Role: m.Role.String(), Zone: m.Zone, Address: m.Address, HTTP: m.HTTP, State: "ready", Revision: m.Revision, RunID: strconv.FormatUint(uint64(m.RunID), 16)}
		if m.Gone {
			d.State = "gone"
		} else if !m.Ready {
			d.State = "not ready"
		}
		if d.State != "ready" {
			status.Warnings = append(status.Warnings, d.Role+" "+string(m.ID)+" is "+d.State)
		}
		if m.Role == membership.Proxy && !m.Gone {
			d.Revision = r.Distributor.AcknowledgedRevision(m)
		}
		status.Daemons = append(status.Daemons, d)
	}
	status.Zones = r.zoneStatuses(now, proxies)
	for _, c := range status.Zones {
		if c.State == "over maximum" || c.State == "stale" || c.State == "no proxy" {
			status.Warnings = append(status.Warnings, "cell "+string(c.Name)+": "+c.State)
		}
	}
	for _, m := range r.spillTable.Moves {
		status.Moves = append(status.Moves, Move{m.From, m.To, m.Route, m.Fraction, m.PlannedCPU, m.Reason})
	}
	return status
}

func (r *Registry) zoneStatuses(now ids.Time, proxies []membership.Member) []ZoneStatus {
	zones := r.currentZones(now)
	var out []ZoneStatus
	for _, n := range sortedNames(zones) {
		h := zones[n]
		c := ZoneStatus{Name: n, Used: h.Used(), Target: h.Target, Acceptable: h.Acceptable, Maximum: h.Maximum, State: zoneState(h), Learned: r.learnedMaxima[n].Reason}
		for _, m := range proxies {
			if m.Zone == n {
				c.Proxies++
			}
		}
		for _, t := range r.Targets.All(now) {
			if t.Zone == n && t.Usable() {
				c.Targets++
			}
		}
		out = append(out, c)
	}
	return out
}
