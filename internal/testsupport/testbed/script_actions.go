package testbed

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Actions on processes.
const (
	// actionKill sends SIGKILL, actionStop stops as the platform does, actionFreeze
	// sends SIGSTOP.
	actionKill   = "kill"
	actionStop   = "stop"
	actionFreeze = "freeze"
	// actionKillRole kills all daemons of a role at once.
	actionKillRole = "herd"
)

// Actions on the network.
const (
	// actionCut cuts all connections between a machine and others, actionCutIn those
	// that others open, actionCutOut those that it opens.
	actionCut    = "cut"
	actionCutIn  = "cut-in"
	actionCutOut = "cut-out"
	// actionSplit partitions the network into two sides.
	actionSplit = "split"
)

// Actions on core machines and disks.
const (
	// actionReplaceCore loses a core machine for good and starts a replacement.
	actionReplaceCore = "swap-core"
	// actionStallDisk keeps a store's disk from writing.
	actionStallDisk = "stall-disk"
)

// Actions on whole zones and regions, and by operators.
const (
	// actionLoseZone and actionLoseRegion kill all daemons and targets there.
	actionLoseZone   = "lose-cell"
	actionLoseRegion = "lose-region"
	// actionDrainZone has operators drain a zone and restore it.
	actionDrainZone = "empty"
	// actionHotZone has most requests come from one zone.
	actionHotZone = "hot"
	// actionBurst has operators make many changes at once.
	actionBurst = "storm"
)

// Actions on targets.
const (
	actionCrashTarget = "crash-target"
	// actionDrainTarget has a target drain and exit.
	actionDrainTarget = "leave-target"
	// actionCorruptTarget has a target lose and corrupt some answers.
	actionCorruptTarget = "mute-target"
	// actionExchangeTargets gives a target the address of one of another service.
	actionExchangeTargets = "hand-over"
	actionFreezeTarget    = "freeze-target"
	// actionReplaceTarget replaces a target for good, by another at a new address.
	actionReplaceTarget = "replace-target"
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
