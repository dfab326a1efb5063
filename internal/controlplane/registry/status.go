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
	Registry    ids.DaemonID       `json:"registry"`
	Agreed      int64              `json:"agreed_ms_ago"`
	Revision    ids.Revision       `json:"revision"`
	InForce     bool               `json:"in_force"`
	Behind      []ids.DaemonID     `json:"behind"`
	Daemons     []DaemonStatus     `json:"daemons"`
	Zones       []ZoneStatus       `json:"cells"`
	Moves       []Move             `json:"moves"`
	Leaderships []LeadershipStatus `json:"duties"`
	Targets     []targets.Target   `json:"targets"`
	Warnings    []string           `json:"problems"`
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
	// Start tells one run of the daemon from another.
	Start string `json:"start"`
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
	Why      string   `json:"why"`
}

// LeadershipStatus is a one-daemon duty as this registry knows it.
type LeadershipStatus struct {
	Name  string    `json:"name"`
	Epoch ids.Epoch `json:"epoch"`
	Held  bool      `json:"mine"`
	Plan  uint64    `json:"plan"`
}

func state(c spill.Zone) string {
	switch {
	case c.Drained:
		return "emptied"
	case c.Gone:
		return "no proxy"
	case c.Stale:
		return "stale"
	case c.Used() > c.Maximum:
		return "over maximum"
	case c.Used() > c.Target:
		return "over target"
	case c.Used() < c.Acceptable:
		return "has room"
	}
	return "comfortable"
}

// Status gathers how things stand, as this registry sees them.
func (f *Registry) Status(now ids.Time) Status {
	proxies := f.Live(membership.Proxy)
	s := Status{
		Registry: f.Self.ID, Revision: f.view.Revision, Agreed: now.Sub(f.agreed).Milliseconds(),
		Behind: f.Distributor.Lag(proxies, f.view.Revision), Targets: f.Targets.All(now),
		Leaderships: []LeadershipStatus{{"planner", f.epoch, f.mine != 0, uint64(f.table.Number)}},
	}
	s.InForce = len(s.Behind) == 0
	if f.agreed == 0 || s.Agreed > 5000 {
		s.Warnings = append(s.Warnings, "no majority of stores for "+itoa(uint64(s.Agreed/1000))+" s")
	}
	for _, id := range s.Behind {
		s.Warnings = append(s.Warnings, "proxy "+string(id)+" lags behind revision "+itoa(uint64(f.view.Revision)))
	}
	for _, m := range f.All() {
		d := DaemonStatus{ID: m.ID, Role: m.Role.String(), Zone: m.Zone, Address: m.Address, HTTP: m.HTTP, State: "ready", Revision: m.Revision, Start: strconv.FormatUint(uint64(m.RunID), 16)}
		if m.Gone {
			d.State = "gone"
		} else if !m.Ready {
			d.State = "not ready"
		}
		if d.State != "ready" {
			s.Warnings = append(s.Warnings, d.Role+" "+string(m.ID)+" is "+d.State)
		}
		if m.Role == membership.Proxy && !m.Gone {
			d.Revision = f.Distributor.Has(m)
		}
		s.Daemons = append(s.Daemons, d)
	}
	s.Zones = f.statusZones(now, proxies)
	for _, c := range s.Zones {
		if c.State == "over maximum" || c.State == "stale" || c.State == "no proxy" {
			s.Warnings = append(s.Warnings, "cell "+string(c.Name)+": "+c.State)
		}
	}
	for _, m := range f.table.Moves {
		s.Moves = append(s.Moves, Move{m.From, m.To, m.Route, m.Fraction, m.Amount, m.Why})
	}
	return s
}

func (f *Registry) statusZones(now ids.Time, proxies []membership.Member) []ZoneStatus {
	zones := f.zones(now)
	var out []ZoneStatus
	for _, n := range names(zones) {
		h := zones[n]
		c := ZoneStatus{Name: n, Used: h.Used(), Target: h.Target, Acceptable: h.Acceptable, Maximum: h.Maximum, State: state(h), Learned: f.fits[n].Why}
		for _, m := range proxies {
			if m.Zone == n {
				c.Proxies++
			}
		}
		for _, t := range f.Targets.All(now) {
			if t.Zone == n && t.Usable() {
				c.Targets++
			}
		}
		out = append(out, c)
	}
	return out
}
