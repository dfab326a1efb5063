package testbed

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/testsupport/blueprint"
)

// A script with any invalid step is rejected as a whole; the error names the file and the step.
func TestReadScript_RejectsInvalidWithFileAndStep(t *testing.T) {
	plan := blueprint.Plans["small"]
	for raw, want := range map[string]string{
		"": "the script has no steps",
		"steps: [{at: 1s, do: explode, who: proxy-1, for: 1s}]":                                                 `step 1: unknown action "explode"`,
		"steps: [{at: 1s, do: kill, for: 1s}]":                                                                  "step 1: who is missing",
		"steps: [{at: 1s, do: kill, who: proxy-9, for: 1s}]":                                                    `step 1: kill needs a daemon or core, and there is none named "proxy-9"`,
		"steps: [{at: 1s, do: kill, who: proxy-1}]":                                                             "step 1: for is missing",
		"steps: [{at: 1s, do: swap-core, who: registry-1}]":                                                     "step 1: swap-core needs a core",
		"steps: [{at: 1s, do: swap-core, who: core-1, for: 3s}]":                                                "step 1: swap-core has no duration",
		"steps: [{at: 1s, do: kill, who: proxy-1, for: 1s}, {at: 59s, do: freeze, who: proxy-1, for: 2s}]":      "step 2: ends at 1m1s, after",
		"steps: [{at: soon, do: kill, who: proxy-1, for: 1s}]":                                                  "is not a valid duration",
		"steps: [{at: 1s, do: kill, who: proxy-1, for: 1s, how: hard}]":                                         "unknown field",
		"steps: [{at: 1s, do: split, who: region-a+region-b+region-c, for: 2s}]":                                "step 1: the other side of the split is empty",
		"steps: [{at: 1s, do: split, who: region-a+, for: 2s}]":                                                 "step 1: who is missing",
		"steps: [{at: 1s, do: storm, who: operators, for: 2s}]":                                                 "step 1: count must be from 1 to 5000",
		"steps: [{at: 1s, do: kill, who: core-2, for: 2s, count: 3}]":                                           "step 1: kill takes no count",
		"steps: [{at: 1s, do: swap-core, who: core-1}, {at: 30s, do: swap-core, who: core-1}]":                  "step 2: core-1 has already been replaced",
		"steps: [{at: 1s, do: swap-core, who: core-1}, {at: 9s, do: freeze, who: registry-1, for: 2s}]":         "step 2: registry-1 has already been replaced",
		"steps: [{at: 1s, do: replace-target, who: catalog-1, for: 3s}]":                                        "step 1: replace-target has no duration",
		"steps: [{at: 1s, do: lose-cell, who: cell-z9, for: 1s}]":                                               "there is none named",
		"steps: [{at: 1s, do: swap-core, who: core-1}, {at: 2s, do: swap-core, who: core-2}]":                   "step 2: core-1 is still being replaced",
		"steps: [{at: 1s, do: kill, who: store-1, for: 9s}, {at: 2s, do: swap-core, who: core-1}]\nextra: true": "unknown field",
	} {
		_, err := ReadScript("f.yaml", []byte(raw), plan, time.Minute)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "f.yaml") {
			t.Errorf("%s: got error %v, want %q", raw, err, want)
		}
	}
}

// Built-in and random scripts pass ReadScript's validation for every plan.
func TestReadScript_AcceptsBuiltInAndRandomScripts(t *testing.T) {
	is := is.New(t)
	for _, plan := range blueprint.Plans {
		for seed := uint64(1); seed < 50; seed++ {
			for _, script := range []*Script{RandomScript(plan, seed, 2*time.Minute), SequentialFaultsScript(plan), WorstCaseScript(plan), ReplacementScript(plan), HotZoneScript(plan, 4*time.Minute)} {
				raw, err := json.Marshal(script)
				is.NoErr(err)
				_, err = ReadScript("generated", raw, plan, 4*time.Minute)
				is.NoErr(err)
			}
		}
	}
	s, err := ReadScript("f", []byte("steps:\n- {at: 9s, do: cut, who: registry-2, for: 2s}\n- {at: 3s, do: empty, who: cell-b1, for: 8s}"), blueprint.Plans["small"], time.Minute)
	is.NoErr(err)
	is.Equal(s.Steps[0].Action, "empty") // sorted by time
}
