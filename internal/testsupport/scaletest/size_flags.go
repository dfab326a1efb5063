package scaletest

import "fmt"

// SizeFlags are sizes as flags give them: one number that holds for all runs, or
// as many as there are runs.
type SizeFlags struct {
	Proxies  []int `help:"Hollow proxies; several sizes, such as 50,100,200, give slopes." default:"50,100,200" name:"proxies"`
	Targets  []int `help:"Targets that announce themselves." default:"200" name:"targets"`
	Services []int `help:"Services." default:"20" name:"services"`
	Routes   []int `help:"Routes." default:"100" name:"routes"`
	Tenants  []int `help:"Tenants, each a route with a host of its own." default:"0" name:"tenants"`
	Zones    []int `help:"Cells." default:"12" name:"cells"`
	Regions  []int `help:"Regions." default:"3" name:"regions"`
	Core     []int `help:"Core machines, each a registry and a store; three of the stores vote." default:"3" name:"core"`
}

// Sizes gives one size a run, or says which list doesn't fit the others.
func (f SizeFlags) Sizes() ([]Size, error) {
	lists := [][]int{f.Proxies, f.Targets, f.Services, f.Routes, f.Tenants, f.Zones, f.Regions, f.Core}
	runs := 1
	for _, list := range lists {
		runs = max(runs, len(list))
	}
	out := make([]Size, runs)
	for i, list := range lists {
		if len(list) != 1 && len(list) != runs {
			return nil, fmt.Errorf("--%s: has %d numbers, where others have %d", axes[i].name, len(list), runs)
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
