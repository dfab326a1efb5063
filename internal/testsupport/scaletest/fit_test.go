package scaletest

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

func points(f func(x float64) float64, xs ...float64) []Point {
	var out []Point
	for _, x := range xs {
		out = append(out, Point{X: x, Y: f(x)})
	}
	return out
}

func TestFitPoints_Line(t *testing.T) {
	is := is.New(t)
	f, ok := FitPoints(points(func(x float64) float64 { return 3 + 0.5*x }, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, linear)
	is.Equal(f.PointCount, 4)
	is.True(almostEqual(f.ValueAt(1600), 803))
	is.True(almostEqual(f.R2, 1))
}

func TestFitPoints_QuadraticNeedsFourSizes(t *testing.T) {
	is := is.New(t)
	square2 := func(x float64) float64 { return 2 + x*x/100 }
	f, ok := FitPoints(points(square2, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, quadratic)
	is.True(almostEqual(f.ValueAt(1600), 25602))
	// Three points are too few to believe a curve.
	f, ok = FitPoints(points(square2, 10, 20, 40))
	is.True(ok)
	is.Equal(f.Shape, linear)
}

func TestFitPoints_LeavesOutAndNeedsTwoSizes(t *testing.T) {
	is := is.New(t)
	list := append(points(func(x float64) float64 { return x }, 1, 2, 3), Point{X: 4, Y: 1000, LeftOut: true})
	f, ok := FitPoints(list)
	is.True(ok)
	is.Equal(f.PointCount, 3)
	is.True(almostEqual(f.ValueAt(10), 10))
	_, ok = FitPoints(points(func(float64) float64 { return 1 }, 5, 5))
	is.True(!ok)
	f, ok = FitPoints(points(func(float64) float64 { return 7 }, 1, 2))
	is.True(ok)
	is.True(almostEqual(f.ValueAt(99), 7))
}

func TestUsageBetween_CountsRestartedProcessFromItsStart(t *testing.T) {
	is := is.New(t)
	from := time.Unix(100, 0)
	push := trafficKey{"sent", "distribution.Push"}
	a := &measurement{at: from, processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 5, traffic: map[trafficKey]traffic{push: {100, 1000}}},
		"b": {pid: 2, daemons: 2, cpuSeconds: 9, traffic: map[trafficKey]traffic{push: {900, 9000}}},
	}}
	b := &measurement{at: from.Add(10 * time.Second), processes: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpuSeconds: 6, residentBytes: 8e6, traffic: map[trafficKey]traffic{push: {200, 3000}, {"lost", "x"}: {3, 30}}},
		"b": {pid: 3, daemons: 2, cpuSeconds: 2, residentBytes: 4e6, traffic: map[trafficKey]traffic{push: {100, 2000}, {"received", "x"}: {1, 400}}},
	}}
	s := usageBetween("proxy", a, b)
	is.Equal(s.Daemons, 4)
	is.True(almostEqual(s.CPUPercent, 7.5))
	is.True(almostEqual(s.BusiestProcessCPUPercent, 20))
	is.True(almostEqual(s.MemoryMB, 3))
	is.True(almostEqual(s.SentBytesPerSecond, 100))
	is.True(almostEqual(s.ReceivedBytesPerSecond, 10))
	is.True(almostEqual(s.ControlBytesPerSecond(), 110))
	is.True(almostEqual(s.SentMessagesPerSecond, 5))
	is.True(almostEqual(s.LostMessages, 3))
	is.Equal(len(s.Kinds), 1)
	is.True(almostEqual(s.Kinds[0].BytesPerMessage, 20))
}

func TestNewLag_Percentiles(t *testing.T) {
	is := is.New(t)
	is.Equal(newLag(nil), Lag{})
	var list []time.Duration
	for n := range 200 {
		list = append(list, time.Duration(200-n)*time.Millisecond)
	}
	is.Equal(newLag(list), Lag{P50: 101, P99: 199, Max: 200})
}

// A fleet whose proxies distrust what they know is not at rest, and its steady
// phase is no slope's.
func TestFitSlopes_LeavesOutRunsWithSuspicions(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, kinds ...KindTraffic) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Completed: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPUPercent: float64(proxies), Kinds: kinds}}}},
		}
	}
	ack := KindTraffic{Kind: "distribution.Ack", MessagesPerSecond: 9}
	list := FitSlopes([]Run{run(1, ack), run(2, ack), run(3, ack, KindTraffic{Kind: "proxy.LeaseRequest", MessagesPerSecond: 0.06}), run(4, KindTraffic{Kind: "membership.Suspect", MessagesPerSecond: 1})})
	is.Equal(list[0].Fit.PointCount, 2)
	is.Equal([]bool{list[0].Points[0].LeftOut, list[0].Points[1].LeftOut, list[0].Points[2].LeftOut, list[0].Points[3].LeftOut}, []bool{false, false, true, true})
}

// One change is what its phase cost beyond the steady state, by the change.
func TestChangeCostSlopes_SubtractSteadyState(t *testing.T) {
	is := is.New(t)
	run := func(proxies int) Run {
		x := float64(proxies)
		return Run{Size: Size{Proxies: proxies}, Cores: 8, Threads: 2, Changes: 4, Phases: []Phase{
			{Name: "steady", Completed: true, Usages: []Usage{{Role: "proxy", Seconds: 10, CPUPercent: 1, SentBytesPerSecond: 100, ReceivedBytesPerSecond: 100}}},
			{Name: "change", Completed: true, Usages: []Usage{{Role: "proxy", Seconds: 2, CPUPercent: 1 + x, SentBytesPerSecond: 100 + x, ReceivedBytesPerSecond: 100 + x}}},
		}}
	}
	for _, s := range changeCostSlopes([]Run{run(10), run(20)}, "proxies")[:2] {
		is.Equal(s.Fit.PointCount, 2)
		switch s.Measure {
		case "one change: CPU ms":
			is.True(almostEqual(s.Points[0].Y, 50))
		case "one change: bytes sent and received":
			is.True(almostEqual(s.Points[1].Y, 20))
		}
	}
}

// A run that filled the machine, one process, or a line is left out.
func TestFitSlopes_LeavesOutSaturatedRuns(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, cpu, busiest, lost float64) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Completed: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPUPercent: cpu, BusiestProcessCPUPercent: busiest, LostMessages: lost, SentBytesPerSecond: 10, ReceivedBytesPerSecond: 20}}}},
		}
	}
	list := FitSlopes([]Run{run(10, 1, 10, 0), run(20, 2, 40, 0), run(100, 7, 100, 0), run(40, 3, 180, 0), run(80, 4, 100, 1)})
	for _, s := range list {
		if s.Measure == "CPU, % of a core" {
			is.Equal(s.Fit.PointCount, 2)
			is.True(almostEqual(s.Extrapolated, 160))
			is.Equal(s.comparedWithBudget(), "1.7: 94.1 times over")
		}
		if s.Measure == "sent and received, bytes/s" {
			is.Equal(s.comparedWithBudget(), "1.3e+04: within")
		}
	}
	for _, s := range list {
		is.Equal(s.Phase, "steady")
	}
	is.Equal(len(list), len(measures))
}
