package scaletest

// Slope is one measure of one role in one phase, over several sizes.
type Slope struct {
	Phase   string `json:"phase"`
	Role    string `json:"role"`
	Measure string `json:"measure"`
	// Axis is the part of the size that varies, such as "proxies".
	Axis   string  `json:"axis"`
	Points []Point `json:"points"`
	// Fit is nil if fewer than two sizes were measured.
	Fit *Fit `json:"fit,omitempty"`
	// DesignPoint is DesignSize along the axis, Extrapolated the fit's value there.
	DesignPoint  float64 `json:"at"`
	Extrapolated float64 `json:"worked_out,omitempty"`
	// Budget is what one daemon may take; 0 if there is no budget.
	Budget float64 `json:"budget,omitempty"`
}

// measures are fitted for each role and phase; the budgets are those of one proxy.
var measures = []struct {
	name   string
	budget float64
	value  func(u Usage) float64
}{
	{"CPU, % of a core", 1.7, func(u Usage) float64 { return u.CPUPercent }},
	{"memory, MB", 64, func(u Usage) float64 { return u.MemoryMB }},
	{"sent, bytes/s", 0, func(u Usage) float64 { return u.SentBytesPerSecond }},
	{"sent and received, bytes/s", 13000, func(u Usage) float64 { return u.ControlBytesPerSecond() }},
	{"messages sent, /s", 0, func(u Usage) float64 { return u.SentMessagesPerSecond }},
}

// changeMeasures are the costs of one configuration change to one daemon.
var changeMeasures = []struct {
	name  string
	value func(u Usage) float64
}{
	// A percent of a core over a second is 10 ms.
	{"one change: CPU ms", func(u Usage) float64 { return 10 * u.CPUPercent * u.Seconds }},
	{"one change: bytes sent and received", func(u Usage) float64 { return u.ControlBytesPerSecond() * u.Seconds }},
}

// changeLagBudgetMillis is how long after a change 99 of 100 proxies apply it.
const changeLagBudgetMillis = 5000

// fittedPhases are the phases whose costs are fitted: those before them fill the
// fleet, and depend on the speed of this machine.
var fittedPhases = []string{steadyPhase, changePhase, registryRestartPhase, proxyRestartPhase}

// FitSlopes fits every measure of every role and phase over the runs. Measures
// without any point are left out.
func FitSlopes(runs []Run) []Slope {
	if len(runs) == 0 {
		return nil
	}
	var sizes []Size
	for _, r := range runs {
		sizes = append(sizes, r.Size)
	}
	axis := Axis(sizes)
	var slopes []Slope
	for _, phase := range fittedPhases {
		for _, role := range roles {
			slopes = append(slopes, usageSlopes(runs, phase, role, axis)...)
		}
		slopes = append(slopes, lagSlope(runs, phase, axis))
	}
	slopes = append(slopes, changeCostSlopes(runs, axis)...)
	return withPoints(slopes)
}

// withPoints returns the slopes that have points; nil if there are none.
func withPoints(slopes []Slope) []Slope {
	var out []Slope
	for _, s := range slopes {
		if len(s.Points) > 0 {
			out = append(out, s)
		}
	}
	return out
}

func newSlope(phase, role, measure, axis string) Slope {
	return Slope{Phase: phase, Role: role, Measure: measure, Axis: axis, DesignPoint: DesignSize.Along(axis)}
}

// usageSlopes fits the measures of one role in one phase.
func usageSlopes(runs []Run, phase, role, axis string) []Slope {
	var slopes []Slope
	for _, m := range measures {
		s := newSlope(phase, role, m.name, axis)
		if role == proxyRole {
			s.Budget = m.budget
		}
		for _, r := range runs {
			p, completed := r.CompletedPhase(phase)
			if !completed {
				continue
			}
			if usage, ok := p.UsageOf(role); ok {
				s.Points = append(s.Points, Point{r.Size.Along(axis), m.value(usage), saturated(r, p)})
			}
		}
		slopes = append(slopes, s.withFit())
	}
	return slopes
}

// changeCostSlopes fit what one change cost one daemon beyond the steady state.
func changeCostSlopes(runs []Run, axis string) []Slope {
	var slopes []Slope
	for _, role := range roles {
		for _, m := range changeMeasures {
			s := newSlope(changePhase, role, m.name, axis)
			for _, r := range runs {
				change, hasChange := r.CompletedPhase(changePhase)
				steady, hasSteady := r.CompletedPhase(steadyPhase)
				if !hasChange || !hasSteady || r.Changes == 0 {
					continue
				}
				during, _ := change.UsageOf(role)
				baseline, _ := steady.UsageOf(role)
				cost := m.value(during) - m.value(baseline)*during.Seconds/baseline.Seconds
				s.Points = append(s.Points, Point{r.Size.Along(axis), cost / float64(r.Changes), saturated(r, change) || saturated(r, steady)})
			}
			slopes = append(slopes, s.withFit())
		}
	}
	return slopes
}

// lagSlope fits how long 99 of 100 proxies took to reach the phase's goal.
func lagSlope(runs []Run, phase, axis string) Slope {
	s := newSlope(phase, "fleet", "99 in 100 proxies, ms", axis)
	if phase == changePhase {
		s.Budget = changeLagBudgetMillis
	}
	for _, r := range runs {
		if p, ok := r.CompletedPhase(phase); ok && p.Lag.P99 > 0 {
			s.Points = append(s.Points, Point{r.Size.Along(axis), p.Lag.P99, saturated(r, p)})
		}
	}
	return s.withFit()
}

// withFit returns the slope with its fit, if its points allow one.
func (s Slope) withFit() Slope {
	if f, ok := FitPoints(s.Points); ok {
		s.Fit, s.Extrapolated = &f, f.ValueAt(s.DesignPoint)
	}
	return s
}
