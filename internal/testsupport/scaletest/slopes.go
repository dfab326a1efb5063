package scaletest

// Slope is one measure of one role in one phase over several sizes.
type Slope struct {
	Phase   string  `json:"phase"`
	Role    string  `json:"role"`
	Measure string  `json:"measure"`
	Axis    string  `json:"axis"`
	Points  []Point `json:"points"`
	Fit     *Fit    `json:"fit,omitempty"`
	// DesignPoint is the letter's size along the axis, and Worked what the fit gives there.
	DesignPoint  float64 `json:"at"`
	Extrapolated float64 `json:"worked_out,omitempty"`
	// Budget is what one daemon may spend; 0 where none is named.
	Budget float64 `json:"budget,omitempty"`
}

// measures are what is fitted, with what a daemon may spend of it.
var measures = []struct {
	name   string
	budget float64
	of     func(p Phase, s Usage) float64
}{
	{"CPU, % of a core", 1.7, func(_ Phase, s Usage) float64 { return s.CPUPercent }},
	{"memory, MB", 64, func(_ Phase, s Usage) float64 { return s.MemoryMB }},
	{"sent, bytes/s", 0, func(_ Phase, s Usage) float64 { return s.SentBytesPerSecond }},
	{"sent and received, bytes/s", 13000, func(_ Phase, s Usage) float64 { return s.ControlBytesPerSecond() }},
	{"messages sent, /s", 0, func(_ Phase, s Usage) float64 { return s.SentMessagesPerSecond }},
}

// saturationShare is the share of the machine, or of what one process may use of it, over
// which a run measures what it runs on.
const saturationShare = 0.85

// restlessSuspicionsPerSecond is how many words of distrust a proxy may send in a second while
// a fleet still counts as at rest.
const restlessSuspicionsPerSecond = 0.05

// SuspicionsPerSecond is how many inquiries and suspicions each proxy sent in a second: a
// fleet that sends them no longer keeps up, and tells itself ever more.
func (p Phase) SuspicionsPerSecond() float64 {
	s, _ := p.UsageOf("proxy")
	sum := 0.0
	for _, k := range s.Kinds {
		if k.Kind == "proxy.LeaseRequest" || k.Kind == "membership.Suspect" {
			sum += k.MessagesPerSecond
		}
	}
	return sum
}

// saturated tells whether a phase measured a machine that is full, or a fleet
// that doesn't keep up, and not what a fleet costs.
func saturated(r Run, p Phase) bool {
	if (p.Name == "steady" || p.Name == "change") && p.SuspicionsPerSecond() > restlessSuspicionsPerSecond {
		return true
	}
	all := 0.0
	for _, s := range p.Usages {
		all += s.CPUPercent * float64(s.Daemons)
		if s.LostMessages > 0 || s.BusiestProcessCPUPercent > saturationShare*100*float64(r.Threads) {
			return true
		}
	}
	return all > saturationShare*100*float64(r.Cores)
}

// FitSlopes fits every measure over the runs.
func FitSlopes(runs []Run) []Slope {
	var sizes []Size
	for _, r := range runs {
		sizes = append(sizes, r.Size)
	}
	if len(sizes) == 0 {
		return nil
	}
	axis := Axis(sizes)
	var out []Slope
	for _, phase := range []string{"steady", "change", "registry-lost", "proxies-back"} {
		for _, role := range roles {
			for _, m := range measures {
				s := Slope{Phase: phase, Role: role, Measure: m.name, Axis: axis, DesignPoint: DesignSize.Along(axis)}
				if role == "proxy" {
					s.Budget = m.budget
				}
				for _, r := range runs {
					if p, ok := r.CompletedPhase(phase); ok {
						if spend, ok := p.UsageOf(role); ok {
							s.Points = append(s.Points, Point{r.Size.Along(axis), m.of(p, spend), saturated(r, p)})
						}
					}
				}
				out = append(out, s.withFit())
			}
		}
		out = append(out, lagSlope(runs, phase, axis))
	}
	return withPoints(append(out, changeCostSlopes(runs, axis)...))
}

// changeCostSlopes is what one change cost one daemon beyond the steady state.
func changeCostSlopes(runs []Run, axis string) []Slope {
	var out []Slope
	for _, role := range roles {
		for _, m := range []struct {
			name string
			of   func(s Usage) float64
		}{
			{"one change: CPU ms", func(s Usage) float64 { return 10 * s.CPUPercent * s.Seconds }},
			{"one change: bytes sent and received", func(s Usage) float64 { return s.ControlBytesPerSecond() * s.Seconds }},
		} {
			s := Slope{Phase: "change", Role: role, Measure: m.name, Axis: axis, DesignPoint: DesignSize.Along(axis)}
			for _, r := range runs {
				change, ok := r.CompletedPhase("change")
				steady, calm := r.CompletedPhase("steady")
				if !ok || !calm || r.Changes == 0 {
					continue
				}
				c, _ := change.UsageOf(role)
				q, _ := steady.UsageOf(role)
				s.Points = append(s.Points, Point{r.Size.Along(axis), (m.of(c) - m.of(q)*c.Seconds/q.Seconds) / float64(r.Changes), saturated(r, change) || saturated(r, steady)})
			}
			out = append(out, s.withFit())
		}
	}
	return out
}

// lagSlope is how long 99 in 100 proxies took.
func lagSlope(runs []Run, phase, axis string) Slope {
	s := Slope{Phase: phase, Role: "fleet", Measure: "99 in 100 proxies, ms", Axis: axis, DesignPoint: DesignSize.Along(axis)}
	if phase == "change" {
		s.Budget = 5000
	}
	for _, r := range runs {
		if p, ok := r.CompletedPhase(phase); ok && p.Lag.P99 > 0 {
			s.Points = append(s.Points, Point{r.Size.Along(axis), p.Lag.P99, saturated(r, p)})
		}
	}
	return s.withFit()
}

func (s Slope) withFit() Slope {
	if f, ok := FitPoints(s.Points); ok {
		s.Fit, s.Extrapolated = &f, f.ValueAt(s.DesignPoint)
	}
	return s
}

func withPoints(list []Slope) []Slope {
	var out []Slope
	for _, s := range list {
		if len(s.Points) > 0 {
			out = append(out, s)
		}
	}
	return out
}
