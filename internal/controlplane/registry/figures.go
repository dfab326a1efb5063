package registry

// Figure is one number of the status, for the page of metrics.
type Figure struct {
	Name   string
	Labels []string
	Values []string
	Value  float64
}

// Figures turns a status into numbers.
func (s Status) Figures() []Figure {
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	out := []Figure{
		{"policy_revision", nil, nil, float64(s.Revision)},
		{"policy_in_force", nil, nil, flag(s.InForce)},
		{"agreed_ms_ago", nil, nil, float64(s.Agreed)},
		{"problems", nil, nil, float64(len(s.Problems))},
	}
	for _, d := range s.Daemons {
		out = append(out, Figure{"daemon_ready", []string{"daemon", "role", "cell"}, []string{string(d.ID), d.Role, string(d.Cell)}, flag(d.State == "ready")})
	}
	for _, c := range s.Cells {
		for level, v := range map[string]float64{"used": c.Used, "acceptable": c.Acceptable, "target": c.Target, "maximum": c.Maximum} {
			out = append(out, Figure{"cell_cpu_ms_per_s", []string{"cell", "level"}, []string{string(c.Name), level}, v})
		}
		out = append(out, Figure{"cell_targets", []string{"cell"}, []string{string(c.Name)}, float64(c.Targets)})
	}
	for _, m := range s.Moves {
		out = append(out, Figure{"move_fraction", []string{"from", "to", "route"}, []string{string(m.From), string(m.To), string(m.Route)}, m.Fraction})
	}
	for _, d := range s.Duties {
		out = append(out, Figure{"duty_epoch", []string{"duty"}, []string{d.Name}, float64(d.Epoch)}, Figure{"duty_mine", []string{"duty"}, []string{d.Name}, flag(d.Mine)})
	}
	return out
}
