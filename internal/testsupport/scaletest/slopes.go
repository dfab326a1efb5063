package scaletest

// Slope is a measure of one role in one phase as a function of the size.
type Slope struct {
	Phase   string `json:"phase"`
	Role    string `json:"role"`
	Measure string `json:"measure"`
	// Axis is the name of the field of Size that varies, such as "proxies".
	Axis   string  `json:"axis"`
	Points []Point `json:"points"`
	// Fit is nil if fewer than two sizes were measured.
	Fit *Fit `json:"fit,omitempty"`
	// DesignPoint is the axis value of DesignSize, Extrapolated the value of the fit there.
	DesignPoint  float64 `json:"at"`
	Extrapolated float64 `json:"worked_out,omitempty"`
	// Budget is the limit for one daemon, or 0 if there is none.
	Budget float64 `json:"budget,omitempty"`
}

// measures lists the measures that are fitted for each role and phase. The names are part of
// reports, and the budgets are for one proxy.
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

// changeMeasures lists the costs of one configuration change for one daemon.
var changeMeasures = []struct {
	name  string
	value func(u Usage) float64
}{
	// One percent of a core for one second is 10 ms.
	{"one change: CPU ms", func(u Usage) float64 { return 10 * u.CPUPercent * u.Seconds }},
	{"one change: bytes sent and received", func(u Usage) float64 { return u.ControlBytesPerSecond() * u.Seconds }},
}

// changeLagBudgetMillis limits the 99th percentile of the delay until a proxy applies a change.
const changeLagBudgetMillis = 5000

// fittedPhases lists the phases whose costs are fitted. The earlier phases set up the fleet, and
// their costs depend on the speed of the machine.
var fittedPhases = []string{steadyPhase, changePhase, registryRestartPhase, proxyRestartPhase}

// FitSlopes fits every measure of every role and phase over the runs. It omits measures without
// points.
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

// withPoints returns the slopes that have points.
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
	return Slope{Phase: phase, Role: role, Measure: measure, Axis: axis, DesignPoint: DesignSize.AxisValue(axis)}
}

// usageSlopes returns the slopes of one role in one phase.
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
				s.Points = append(s.Points, Point{r.Size.AxisValue(axis), m.value(usage), saturated(r, p)})
			}
		}
		slopes = append(slopes, s.withFit())
	}
	return slopes
}

// changeCostSlopes returns the slopes of the cost of one change for one daemon, which is the cost of
// the change phase without that of the steady state.
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
				s.Points = append(s.Points, Point{r.Size.AxisValue(axis), cost / float64(r.Changes), saturated(r, change) || saturated(r, steady)})
			}
			slopes = append(slopes, s.withFit())
		}
	}
	return slopes
}

// lagSlope returns the slope of the 99th percentile of a phase's lag.
func lagSlope(runs []Run, phase, axis string) Slope {
	s := newSlope(phase, "fleet", "99 in 100 proxies, ms", axis)
	if phase == changePhase {
		s.Budget = changeLagBudgetMillis
	}
	for _, r := range runs {
		if p, ok := r.CompletedPhase(phase); ok && p.Lag.P99 > 0 {
			s.Points = append(s.Points, Point{r.Size.AxisValue(axis), p.Lag.P99, saturated(r, p)})
		}
	}
	return s.withFit()
}

// withFit returns the slope with a fit, if there are enough points for one.
func (s Slope) withFit() Slope {
	if f, ok := FitPoints(s.Points); ok {
		s.Fit, s.Extrapolated = &f, f.ValueAt(s.DesignPoint)
	}
	return s
}
