package testbed

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// The actions of steps, by their names in script files.
const (
	// Of processes: SIGKILL, the platform's stop, SIGSTOP; and all of a role at once.
	actionKill     = "kill"
	actionStop     = "stop"
	actionFreeze   = "freeze"
	actionKillRole = "herd"
	// Of the network: all connections of a machine to others, those that others open
	// to it, those that it opens; and a partition into two sides.
	actionCut    = "cut"
	actionCutIn  = "cut-in"
	actionCutOut = "cut-out"
	actionSplit  = "split"
	// Of core machines and disks.
	actionReplaceCore = "swap-core"
	actionStallDisk   = "stall-disk"
	// Of whole zones and regions: loss, draining by operators, a hot zone.
	actionLoseZone   = "lose-cell"
	actionLoseRegion = "lose-region"
	actionDrainZone  = "empty"
	actionHotZone    = "hot"
	// Of operators: many changes at once.
	actionBurst = "storm"
	// Of targets: crash, drain and exit, lose and corrupt answers, exchange
	// addresses with a target of another service, freeze, replace for good.
	actionCrashTarget     = "crash-target"
	actionDrainTarget     = "leave-target"
	actionCorruptTarget   = "mute-target"
	actionExchangeTargets = "hand-over"
	actionFreezeTarget    = "freeze-target"
	actionReplaceTarget   = "replace-target"
)

// The kinds of subjects.
const (
	subjectDaemon    = "daemon"
	subjectCore      = "core"
	subjectStore     = "store"
	subjectRole      = "role"
	subjectTarget    = "target"
	subjectZone      = "cell"
	subjectRegion    = "region"
	subjectOperators = "operators"
)

// action is what may be done to which kinds of subjects.
type action struct {
	subjects []string
	// lasts: the step must say for how long.
	lasts bool
}

var actions = map[string]action{
	actionKill:            {[]string{subjectDaemon, subjectCore}, true},
	actionStop:            {[]string{subjectDaemon, subjectCore}, true},
	actionFreeze:          {[]string{subjectDaemon, subjectCore}, true},
	actionKillRole:        {[]string{subjectRole}, true},
	actionCut:             {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionCutIn:           {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionCutOut:          {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionSplit:           {[]string{subjectDaemon, subjectCore, subjectTarget, subjectZone, subjectRegion}, true},
	actionReplaceCore:     {[]string{subjectCore}, false},
	actionStallDisk:       {[]string{subjectStore}, true},
	actionLoseZone:        {[]string{subjectZone}, true},
	actionLoseRegion:      {[]string{subjectRegion}, true},
	actionDrainZone:       {[]string{subjectZone}, true},
	actionHotZone:         {[]string{subjectZone}, true},
	actionBurst:           {[]string{subjectOperators}, true},
	actionCrashTarget:     {[]string{subjectTarget}, true},
	actionDrainTarget:     {[]string{subjectTarget}, true},
	actionCorruptTarget:   {[]string{subjectTarget}, true},
	actionExchangeTargets: {[]string{subjectTarget}, true},
	actionFreezeTarget:    {[]string{subjectTarget}, true},
	actionReplaceTarget:   {[]string{subjectTarget}, false},
}

// subjectsByKind names all subjects of a plan.
func subjectsByKind(plan blueprint.Plan) map[string][]string {
	subjects := map[string][]string{
		subjectRole:      {proxyRole, registryRole, storeRole},
		subjectOperators: {"operators"},
	}
	add := func(kind string, names ...string) { subjects[kind] = append(subjects[kind], names...) }
	for i := range coreMachines {
		store, registry := fmt.Sprintf("store-%d", i+1), fmt.Sprintf("registry-%d", i+1)
		add(subjectCore, fmt.Sprintf("core-%d", i+1))
		add(subjectStore, store)
		add(subjectDaemon, store, registry)
	}
	for i := range plan.Proxies {
		add(subjectDaemon, fmt.Sprintf("proxy-%d", i+1))
	}
	for i := range plan.Zones {
		zone := plan.Zone(i)
		add(subjectZone, string(zone))
		if region := plan.Region(zone); !slices.Contains(subjects[subjectRegion], region) {
			add(subjectRegion, region)
		}
	}
	for _, pool := range plan.Pools {
		for i := range pool.Targets {
			add(subjectTarget, string(pool.Instance(i)))
		}
	}
	return subjects
}

// coversEveryZone tells whether one side of a split has every zone.
func coversEveryZone(plan blueprint.Plan, side []string) bool {
	for i := range plan.Zones {
		zone := plan.Zone(i)
		if !slices.Contains(side, string(zone)) && !slices.Contains(side, plan.Region(zone)) {
			return false
		}
	}
	return true
}

// zonesOf are the zones of a region, or the one zone of that name.
func zonesOf(plan blueprint.Plan, name string) []ids.Name {
	var zones []ids.Name
	for i := range plan.Zones {
		if zone := plan.Zone(i); plan.Region(zone) == name || string(zone) == name {
			zones = append(zones, zone)
		}
	}
	return zones
}
