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
	At      Duration `json:"at"`
	Action  string   `json:"do"`
	Subject string   `json:"who"`
	// For is how long it lasts; what comes back comes back then.
	For Duration `json:"for"`
	// Count is how many changes a storm has.
	Count int `json:"count"`
}

// Duration is a span of time written as 1m30s.
type Duration time.Duration

// UnmarshalJSON reads a span.
func (s *Duration) UnmarshalJSON(raw []byte) error {
	d, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil || d < 0 {
		return fmt.Errorf("%s is no span of time", raw)
	}
	*s = Duration(d)
	return nil
}

// MarshalJSON writes it the same way.
func (s Duration) MarshalJSON() ([]byte, error) { return []byte(`"` + s.String() + `"`), nil }

// String gives the span as time.Duration writes it.
func (s Duration) String() string { return time.Duration(s).String() }

// minReplacementGap is how far apart two replacements must be.
const minReplacementGap = Duration(20 * time.Second)

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
	lastReplacement := -1
	replacedAt := map[string]Duration{}
	for i, step := range s.Steps {
		problem := step.problem(plan, length)
		// What was replaced isn't there any more.
		for _, name := range strings.Split(step.Subject, "+") {
			if at, ok := replacedAt[name]; ok && step.At >= at && problem == "" {
				problem = name + " was replaced before"
			}
		}
		// The blank one needs its copy before another may be lost.
		if step.Action == "swap-core" && problem == "" {
			if lastReplacement >= 0 && step.At-s.Steps[lastReplacement].At < minReplacementGap {
				problem = s.Steps[lastReplacement].Subject + " is still being replaced"
			}
			lastReplacement = i
			n := strings.TrimPrefix(step.Subject, "core-")
			replacedAt[step.Subject], replacedAt["store-"+n], replacedAt["registry-"+n] = step.At, step.At, step.At
		}
		if problem != "" {
			return nil, errs.New("read script", file, "step %d: %s", i+1, problem)
		}
	}
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	return &s, nil
}

func (s Step) problem(plan blueprint.Plan, length time.Duration) string {
	action, ok := actions[s.Action]
	if !ok {
		return fmt.Sprintf("there is no deed %q", s.Action)
	}
	names := subjectsByKind(plan)
	known := func(name string) bool {
		return slices.ContainsFunc(action.to, func(kind string) bool { return slices.Contains(names[kind], name) })
	}
	list := []string{s.Subject}
	if s.Action == "split" {
		list = strings.Split(s.Subject, "+")
	}
	for _, name := range list {
		switch {
		case name == "":
			return "who is missing"
		case !known(name):
			return fmt.Sprintf("%s is done to a %s, and there is none named %q", s.Action, strings.Join(action.to, " or "), name)
		}
	}
	switch {
	case s.Action == "split" && coversEveryZone(plan, list):
		return "the other side of the split is empty"
	case s.Action == "storm" && (s.Count < 1 || s.Count > 5000):
		return "count must be from 1 to 5000"
	case s.Action != "storm" && s.Count != 0:
		return s.Action + " has no count"
	case action.lasts && s.For <= 0:
		return "for is missing"
	case !action.lasts && s.For != 0:
		return s.Action + " doesn't last, so for has no meaning"
	case time.Duration(s.At+s.For) > length:
		return fmt.Sprintf("it ends at %s, after the testbed's %s", s.At+s.For, length)
	}
	return ""
}

// coversEveryZone tells whether one side of a split holds every zone.
func coversEveryZone(plan blueprint.Plan, side []string) bool {
	for i := range plan.Zones {
		c := plan.Zone(i)
		if !slices.Contains(side, string(c)) && !slices.Contains(side, plan.Region(c)) {
			return false
		}
	}
	return true
}

// subjectsByKind names everybody that something can be done to.
func subjectsByKind(plan blueprint.Plan) map[string][]string {
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
