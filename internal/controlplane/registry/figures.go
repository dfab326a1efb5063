package registry

// Metric is one number of the status, for the page of metrics.
type Metric struct {
	Name   string
	Labels []string
	Values []string
	Value  float64
}

// Metrics turns a status into numbers.
func (s Status) Metrics() []Metric {
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	out := []Metric{
		{"policy_revision", nil, nil, float64(s.Revision)},
		{"policy_in_force", nil, nil, flag(s.InForce)},
		{"agreed_ms_ago", nil, nil, float64(s.AgreementAgeMillis)},
		{"problems", nil, nil, float64(len(s.Warnings))},
	}
	for _, d := range s.Daemons {
		out = append(out, Metric{"daemon_ready", []string{"daemon", "role", "cell"}, []string{string(d.ID), d.Role, string(d.Zone)}, flag(d.State == "ready")})
	}
	for _, c := range s.Zones {
		for level, v := range map[string]float64{"used": c.Used, "acceptable": c.Acceptable, "target": c.Target, "maximum": c.Maximum} {
			out = append(out, Metric{"cell_cpu_ms_per_s", []string{"cell", "level"}, []string{string(c.Name), level}, v})
		}
		out = append(out, Metric{"cell_targets", []string{"cell"}, []string{string(c.Name)}, float64(c.Targets)})
	}
	for _, m := range s.Moves {
		out = append(out, Metric{"move_fraction", []string{"from", "to", "route"}, []string{string(m.From), string(m.To), string(m.Route)}, m.Fraction})
	}
	for _, d := range s.Leaderships {
		out = append(out, Metric{"duty_epoch", []string{"duty"}, []string{d.Name}, float64(d.Epoch)}, Metric{"duty_mine", []string{"duty"}, []string{d.Name}, flag(d.Held)})
	}
	return out
}
