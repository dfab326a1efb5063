package scaletest

import "fmt"

// SizeFlags are the flags of the sizes. Each has either one number for all runs, or one per run.
type SizeFlags struct {
	Proxies  []int `help:"Number of simulated proxies; several, such as 50,100,200, run one size each." default:"50,100,200" name:"proxies"`
	Targets  []int `help:"Number of targets that send heartbeats." default:"200" name:"targets"`
	Services []int `help:"Number of services." default:"20" name:"services"`
	Routes   []int `help:"Number of routes." default:"100" name:"routes"`
	Tenants  []int `help:"Number of tenants, each a route for one host name." default:"0" name:"tenants"`
	Zones    []int `help:"Number of zones (cells)." default:"12" name:"cells"`
	Regions  []int `help:"Number of regions." default:"3" name:"regions"`
	Core     []int `help:"Number of core machines, each with a registry and a store; three of the stores are voters." default:"3" name:"core"`
}

// Sizes returns the size of each run, or an error that names the invalid flag.
func (f SizeFlags) Sizes() ([]Size, error) {
	lists := [][]int{f.Proxies, f.Targets, f.Services, f.Routes, f.Tenants, f.Zones, f.Regions, f.Core}
	runs := 1
	for _, list := range lists {
		runs = max(runs, len(list))
	}
	out := make([]Size, runs)
	for i, list := range lists {
		if len(list) != 1 && len(list) != runs {
			return nil, fmt.Errorf("--%s: has %d numbers, but another flag has %d", axes[i].name, len(list), runs)
		}
		for n := range out {
			*axes[i].field(&out[n]) = list[min(n, len(list)-1)]
		}
	}
	for _, s := range out {
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
