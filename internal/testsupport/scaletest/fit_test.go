package scaletest

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

func points(f func(x float64) float64, xs ...float64) []Point {
	var out []Point
	for _, x := range xs {
		out = append(out, Point{X: x, Y: f(x)})
	}
	return out
}

func TestFitOfALine(t *testing.T) {
	is := is.New(t)
	f, ok := FitOf(points(func(x float64) float64 { return 3 + 0.5*x }, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, linear)
	is.Equal(f.Points, 4)
	is.True(near(f.At(1600), 803))
	is.True(near(f.R2, 1))
}

func TestFitOfASquare(t *testing.T) {
	is := is.New(t)
	square2 := func(x float64) float64 { return 2 + x*x/100 }
	f, ok := FitOf(points(square2, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, square)
	is.True(near(f.At(1600), 25602))
	// Three points are too few to believe a curve.
	f, ok = FitOf(points(square2, 10, 20, 40))
	is.True(ok)
	is.Equal(f.Shape, linear)
}

func TestFitLeavesOutAndNeedsTwoSizes(t *testing.T) {
	is := is.New(t)
	list := append(points(func(x float64) float64 { return x }, 1, 2, 3), Point{X: 4, Y: 1000, Out: true})
	f, ok := FitOf(list)
	is.True(ok)
	is.Equal(f.Points, 3)
	is.True(near(f.At(10), 10))
	_, ok = FitOf(points(func(float64) float64 { return 1 }, 5, 5))
	is.True(!ok)
	f, ok = FitOf(points(func(float64) float64 { return 7 }, 1, 2))
	is.True(ok)
	is.True(near(f.At(99), 7))
}

func TestBetweenCountsAProcessThatBeganAnewFromItsStart(t *testing.T) {
	is := is.New(t)
	from := time.Unix(100, 0)
	push := flowKey{"sent", "distribution.Push"}
	a := &measurement{at: from, procs: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpu: 5, flows: map[flowKey]flow{push: {100, 1000}}},
		"b": {pid: 2, daemons: 2, cpu: 9, flows: map[flowKey]flow{push: {900, 9000}}},
	}}
	b := &measurement{at: from.Add(10 * time.Second), procs: map[string]*processUsage{
		"a": {pid: 1, daemons: 2, cpu: 6, resident: 8e6, flows: map[flowKey]flow{push: {200, 3000}, {"lost", "x"}: {3, 30}}},
		"b": {pid: 3, daemons: 2, cpu: 2, resident: 4e6, flows: map[flowKey]flow{push: {100, 2000}, {"received", "x"}: {1, 400}}},
	}}
	s := between("proxy", a, b)
	is.Equal(s.Daemons, 4)
	is.True(near(s.CPU, 7.5))
	is.True(near(s.Busiest, 20))
	is.True(near(s.Memory, 3))
	is.True(near(s.Sent, 100))
	is.True(near(s.Received, 10))
	is.True(near(s.Control(), 110))
	is.True(near(s.Messages, 5))
	is.True(near(s.Lost, 3))
	is.Equal(len(s.Kinds), 1)
	is.True(near(s.Kinds[0].Size, 20))
}

func TestLagOf(t *testing.T) {
	is := is.New(t)
	is.Equal(lagOf(nil), Lag{})
	var list []time.Duration
	for n := range 200 {
		list = append(list, time.Duration(200-n)*time.Millisecond)
	}
	is.Equal(lagOf(list), Lag{P50: 101, P99: 199, Max: 200})
}

// A fleet whose proxies distrust what they know is not at rest, and its steady
// phase is no slope's.
func TestSlopesLeaveOutRestlessRuns(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, kinds ...Kind) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Done: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPU: float64(proxies), Kinds: kinds}}}},
		}
	}
	ack := Kind{Kind: "distribution.Ack", Messages: 9}
	list := SlopesOf([]Run{run(1, ack), run(2, ack), run(3, ack, Kind{Kind: "proxy.LeaseRequest", Messages: 0.06}), run(4, Kind{Kind: "membership.Suspect", Messages: 1})})
	is.Equal(list[0].Fit.Points, 2)
	is.Equal([]bool{list[0].Points[0].Out, list[0].Points[1].Out, list[0].Points[2].Out, list[0].Points[3].Out}, []bool{false, false, true, true})
}

// One change is what its phase cost beyond the steady state, by the change.
func TestOneChange(t *testing.T) {
	is := is.New(t)
	run := func(proxies int) Run {
		x := float64(proxies)
		return Run{Size: Size{Proxies: proxies}, Cores: 8, Threads: 2, Changes: 4, Phases: []Phase{
			{Name: "steady", Done: true, Usages: []Usage{{Role: "proxy", Seconds: 10, CPU: 1, Sent: 100, Received: 100}}},
			{Name: "change", Done: true, Usages: []Usage{{Role: "proxy", Seconds: 2, CPU: 1 + x, Sent: 100 + x, Received: 100 + x}}},
		}}
	}
	for _, s := range perChangeOf([]Run{run(10), run(20)}, "proxies")[:2] {
		is.Equal(s.Fit.Points, 2)
		switch s.Measure {
		case "one change: CPU ms":
			is.True(near(s.Points[0].Y, 50))
		case "one change: bytes sent and received":
			is.True(near(s.Points[1].Y, 20))
		}
	}
}

// A run that filled the machine, one process, or a line is left out.
func TestSlopesLeaveOutFullRuns(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, cpu, busiest, lost float64) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Done: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPU: cpu, Busiest: busiest, Lost: lost, Sent: 10, Received: 20}}}},
		}
	}
	list := SlopesOf([]Run{run(10, 1, 10, 0), run(20, 2, 40, 0), run(100, 7, 100, 0), run(40, 3, 180, 0), run(80, 4, 100, 1)})
	for _, s := range list {
		if s.Measure == "CPU, % of a core" {
			is.Equal(s.Fit.Points, 2)
			is.True(near(s.Extrapolated, 160))
			is.Equal(s.beside(), "1.7: 94.1 times over")
		}
		if s.Measure == "sent and received, bytes/s" {
			is.Equal(s.beside(), "1.3e+04: within")
		}
	}
	for _, s := range list {
		is.Equal(s.Phase, "steady")
	}
	is.Equal(len(list), len(measures))
}
