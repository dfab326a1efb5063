package scaletest

import (
	"testing"

	"github.com/matryer/is"
)

// The steady phase of a run whose proxies suspected live peers is excluded from the fits.
func TestFitSlopes_ExcludesRunsWithSuspicions(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, kinds ...KindTraffic) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Completed: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPUPercent: float64(proxies), Kinds: kinds}}}},
		}
	}
	ack := KindTraffic{Kind: "distribution.Ack", MessagesPerSecond: 9}
	slopes := FitSlopes([]Run{run(1, ack), run(2, ack), run(3, ack, KindTraffic{Kind: "proxy.LeaseRequest", MessagesPerSecond: 0.06}), run(4, KindTraffic{Kind: "membership.Suspect", MessagesPerSecond: 1})})
	is.Equal(slopes[0].Fit.PointCount, 2)
	is.Equal([]bool{slopes[0].Points[0].Excluded, slopes[0].Points[1].Excluded, slopes[0].Points[2].Excluded, slopes[0].Points[3].Excluded}, []bool{false, false, true, true})
}

// The cost of one change is the cost of the change phase without that of the steady state, divided
// by the number of changes.
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

// A run that saturated the machine, one process or a connection's queue is excluded from the fits.
func TestFitSlopes_ExcludesSaturatedRuns(t *testing.T) {
	is := is.New(t)
	run := func(proxies int, cpu, busiest, lost float64) Run {
		return Run{
			Size: Size{Proxies: proxies}, Cores: 8, Threads: 2,
			Phases: []Phase{{Name: "steady", Completed: true, Usages: []Usage{{Role: "proxy", Daemons: proxies, CPUPercent: cpu, BusiestProcessCPUPercent: busiest, LostMessages: lost, SentBytesPerSecond: 10, ReceivedBytesPerSecond: 20}}}},
		}
	}
	slopes := FitSlopes([]Run{run(10, 1, 10, 0), run(20, 2, 40, 0), run(100, 7, 100, 0), run(40, 3, 180, 0), run(80, 4, 100, 1)})
	for _, s := range slopes {
		if s.Measure == "CPU, % of a core" {
			is.Equal(s.Fit.PointCount, 2)
			is.True(almostEqual(s.Extrapolated, 160))
			is.Equal(s.budgetComparison(), "1.7: 94.1 times the budget")
		}
		if s.Measure == "sent and received, bytes/s" {
			is.Equal(s.budgetComparison(), "1.3e+04: within")
		}
	}
	for _, s := range slopes {
		is.Equal(s.Phase, "steady")
	}
	is.Equal(len(slopes), len(measures))
}
