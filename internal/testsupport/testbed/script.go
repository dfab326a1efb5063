package testbed

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"sigs.k8s.io/yaml"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Script is faults at set times.
type Script struct {
	Steps []Step `json:"steps"`
}

// Step is one fault.
type Step struct {
	At      Span   `json:"at"`
	Action  string `json:"do"`
	Subject string `json:"who"`
	// For is how long it lasts; what comes back comes back then.
	For Span `json:"for"`
	// Count is how many changes a storm has.
	Count int `json:"count"`
}

// Span is a span of time written as 1m30s.
type Span time.Duration

// UnmarshalJSON reads a span.
func (s *Span) UnmarshalJSON(raw []byte) error {
	d, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil || d < 0 {
		return fmt.Errorf("%s is no span of time", raw)
	}
	*s = Span(d)
	return nil
}

// MarshalJSON writes it the same way.
func (s Span) MarshalJSON() ([]byte, error) { return []byte(`"` + s.String() + `"`), nil }

// String gives the span as time.Duration writes it.
func (s Span) String() string { return time.Duration(s).String() }

// swapPause is how far apart two replacements must be.
const swapPause = Span(20 * time.Second)

// what each deed is done to, and whether it lasts for a while.
var actions = map[string]struct {
	to    []string
	lasts bool
}{
	"kill": {machines, true}, "stop": {machines, true}, "freeze": {machines, true},
	"cut": {onNet, true}, "cut-in": {onNet, true}, "cut-out": {onNet, true},
	"split":     {[]string{"daemon", "core", "target", "cell", "region"}, true},
	"swap-core": {[]string{"core"}, false}, "herd": {[]string{"role"}, true},
	"lose-cell": {[]string{"cell"}, true}, "lose-region": {[]string{"region"}, true}, "empty": {[]string{"cell"}, true},
	"hot": {[]string{"cell"}, true}, "storm": {[]string{"operators"}, true}, "stall-disk": {[]string{"store"}, true},
	"crash-target": {targets, true}, "leave-target": {targets, true}, "mute-target": {targets, true}, "hand-over": {targets, true},
	"freeze-target": {targets, true}, "replace-target": {targets, false},
}

var (
	machines = []string{"daemon", "core"}
	onNet    = []string{"daemon", "core", "target"}
	targets  = []string{"target"}
)

// ReadScript reads a script and checks all of it against the plan.
func ReadScript(file string, raw []byte, plan blueprint.Plan, length time.Duration) (*Script, error) {
	var s Script
	if err := yaml.UnmarshalStrict(raw, &s); err != nil {
		return nil, errs.New("read script", file, "%v", err)
	}
	if len(s.Steps) == 0 {
		return nil, errs.New("read script", file, "it has no steps")
	}
	swap := -1
	gone := map[string]Span{}
	for i, d := range s.Steps {
		why := d.invalid(plan, length)
		// What was replaced isn't there any more.
		for _, name := range strings.Split(d.Subject, "+") {
			if at, ok := gone[name]; ok && d.At >= at && why == "" {
				why = name + " was replaced before"
			}
		}
		// The blank one needs its copy before another may be lost.
		if d.Action == "swap-core" && why == "" {
			if swap >= 0 && d.At-s.Steps[swap].At < swapPause {
				why = s.Steps[swap].Subject + " is still being replaced"
			}
			swap = i
			n := strings.TrimPrefix(d.Subject, "core-")
			gone[d.Subject], gone["store-"+n], gone["registry-"+n] = d.At, d.At, d.At
		}
		if why != "" {
			return nil, errs.New("read script", file, "step %d: %s", i+1, why)
		}
	}
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	return &s, nil
}

func (d Step) invalid(plan blueprint.Plan, length time.Duration) string {
	k, ok := actions[d.Action]
	if !ok {
		return fmt.Sprintf("there is no deed %q", d.Action)
	}
	names := who(plan)
	known := func(name string) bool {
		return slices.ContainsFunc(k.to, func(kind string) bool { return slices.Contains(names[kind], name) })
	}
	list := []string{d.Subject}
	if d.Action == "split" {
		list = strings.Split(d.Subject, "+")
	}
	for _, name := range list {
		switch {
		case name == "":
			return "who is missing"
		case !known(name):
			return fmt.Sprintf("%s is done to a %s, and there is none named %q", d.Action, strings.Join(k.to, " or "), name)
		}
	}
	switch {
	case d.Action == "split" && whole(plan, list):
		return "the other side of the split is empty"
	case d.Action == "storm" && (d.Count < 1 || d.Count > 5000):
		return "count must be from 1 to 5000"
	case d.Action != "storm" && d.Count != 0:
		return d.Action + " has no count"
	case k.lasts && d.For <= 0:
		return "for is missing"
	case !k.lasts && d.For != 0:
		return d.Action + " doesn't last, so for has no meaning"
	case time.Duration(d.At+d.For) > length:
		return fmt.Sprintf("it ends at %s, after the testbed's %s", d.At+d.For, length)
	}
	return ""
}

// whole tells whether one side of a split holds every zone.
func whole(plan blueprint.Plan, side []string) bool {
	for i := range plan.Zones {
		c := plan.Zone(i)
		if !slices.Contains(side, string(c)) && !slices.Contains(side, plan.Region(c)) {
			return false
		}
	}
	return true
}

// who names everybody that something can be done to.
func who(plan blueprint.Plan) map[string][]string {
	out := map[string][]string{"role": {"proxy", "registry", "store"}, "operators": {"operators"}}
	for i := range 3 {
		out["core"] = append(out["core"], fmt.Sprintf("core-%d", i+1))
		out["store"] = append(out["store"], fmt.Sprintf("store-%d", i+1))
		out["daemon"] = append(out["daemon"], fmt.Sprintf("store-%d", i+1), fmt.Sprintf("registry-%d", i+1))
	}
	for i := range plan.Proxies {
		out["daemon"] = append(out["daemon"], fmt.Sprintf("proxy-%d", i+1))
	}
	for i := range plan.Zones {
		c := plan.Zone(i)
		out["cell"] = append(out["cell"], string(c))
		if r := plan.Region(c); !slices.Contains(out["region"], r) {
			out["region"] = append(out["region"], r)
		}
	}
	for _, p := range plan.Pools {
		for i := range p.Targets {
			out["target"] = append(out["target"], string(p.Instance(i)))
		}
	}
	return out
}

// zonesOf names the zones of a region, or the one zone of that name.
func zonesOf(plan blueprint.Plan, region string) []ids.Name {
	var out []ids.Name
	for i := range plan.Zones {
		if c := plan.Zone(i); plan.Region(c) == region || string(c) == region {
			out = append(out, c)
		}
	}
	return out
}
