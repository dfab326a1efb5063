package registry

// Metric is one number of a Status, as the /metrics endpoint exposes it.
type Metric struct {
	Name string
	// Labels holds the names of the labels, and Values their values.
	Labels []string
	Values []string
	Value  float64
}

// Metrics returns the metrics of a status.
func (s Status) Metrics() []Metric {
	metrics := []Metric{
		{Name: "policy_revision", Value: float64(s.Revision)},
		{Name: "policy_in_force", Value: boolValue(s.InForce)},
		{Name: "agreed_ms_ago", Value: float64(s.QuorumReadAgeMillis)},
		{Name: "problems", Value: float64(len(s.Warnings))},
	}
	for _, daemon := range s.Daemons {
		metrics = append(metrics, daemon.metric())
	}
	for _, zone := range s.Zones {
		metrics = append(metrics, zone.metrics()...)
	}
	for _, move := range s.Moves {
		metrics = append(metrics, move.metric())
	}
	for _, leadership := range s.Leaderships {
		metrics = append(metrics, leadership.metrics()...)
	}
	return metrics
}

func (d DaemonStatus) metric() Metric {
	return Metric{
		Name:   "daemon_ready",
		Labels: []string{"daemon", "role", "cell"},
		Values: []string{string(d.ID), d.Role, string(d.Zone)},
		Value:  boolValue(d.State == daemonReady),
	}
}

func (z ZoneStatus) metrics() []Metric {
	level := func(name string, value float64) Metric {
		return Metric{
			Name:   "cell_cpu_ms_per_s",
			Labels: []string{"cell", "level"},
			Values: []string{string(z.Name), name},
			Value:  value,
		}
	}
	return []Metric{
		level("used", z.Used),
		level("acceptable", z.Acceptable),
		level("target", z.Target),
		level("maximum", z.Maximum),
		{Name: "cell_targets", Labels: []string{"cell"}, Values: []string{string(z.Name)}, Value: float64(z.Targets)},
	}
}

func (m Move) metric() Metric {
	return Metric{
		Name:   "move_fraction",
		Labels: []string{"from", "to", "route"},
		Values: []string{string(m.From), string(m.To), string(m.Route)},
		Value:  m.Fraction,
	}
}

func (l LeadershipStatus) metrics() []Metric {
	labels, values := []string{"duty"}, []string{l.Name}
	return []Metric{
		{Name: "duty_epoch", Labels: labels, Values: values, Value: float64(l.Epoch)},
		{Name: "duty_mine", Labels: labels, Values: values, Value: boolValue(l.Held)},
	}
}

// boolValue returns the metric value of a boolean: 1 or 0.
func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
