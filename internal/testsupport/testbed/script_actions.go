package testbed

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
)

// Actions on processes.
const (
	// actionKill sends SIGKILL, actionStop sends SIGTERM and then SIGKILL as the platform
	// does, and actionFreeze sends SIGSTOP.
	actionKill   = "kill"
	actionStop   = "stop"
	actionFreeze = "freeze"
	// actionKillRole kills all daemons of a role at once.
	actionKillRole = "herd"
)

// Actions on the network.
const (
	// actionCut blocks all connections between a machine and others, actionCutIn only
	// incoming and actionCutOut only outgoing ones.
	actionCut    = "cut"
	actionCutIn  = "cut-in"
	actionCutOut = "cut-out"
	// actionSplit partitions the network into two sides.
	actionSplit = "split"
)

// Actions on core machines and disks.
const (
	// actionReplaceCore replaces a core machine by one with empty disks at new addresses.
	actionReplaceCore = "swap-core"
	// actionStallDisk blocks a store's disk writes.
	actionStallDisk = "stall-disk"
)

// Actions on whole zones and regions, and by operators.
const (
	// actionLoseZone and actionLoseRegion kill all daemons and targets of a zone or region.
	actionLoseZone   = "lose-cell"
	actionLoseRegion = "lose-region"
	// actionDrainZone drains a zone, and restores it afterwards.
	actionDrainZone = "empty"
	// actionHotZone makes most requests come from one zone.
	actionHotZone = "hot"
	// actionBurst makes operators send many changes at once.
	actionBurst = "storm"
)

// Actions on targets.
const (
	actionCrashTarget = "crash-target"
	// actionDrainTarget makes a target drain and exit.
	actionDrainTarget = "leave-target"
	// actionCorruptTarget makes a target drop or corrupt some of its responses.
	actionCorruptTarget = "mute-target"
	// actionSwapAddresses swaps the addresses of a target and one of another service.
	actionSwapAddresses = "hand-over"
	actionFreezeTarget  = "freeze-target"
	// actionReplaceTarget replaces a target by one with another name and address.
	actionReplaceTarget = "replace-target"
)

// Kinds of subjects.
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

// action describes the valid steps with an action.
type action struct {
	// subjects lists the kinds of subjects that the action can affect.
	subjects []string
	// lasts is true if a step must set For.
	lasts bool
}

var actions = map[string]action{
	actionKill:          {[]string{subjectDaemon, subjectCore}, true},
	actionStop:          {[]string{subjectDaemon, subjectCore}, true},
	actionFreeze:        {[]string{subjectDaemon, subjectCore}, true},
	actionKillRole:      {[]string{subjectRole}, true},
	actionCut:           {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionCutIn:         {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionCutOut:        {[]string{subjectDaemon, subjectCore, subjectTarget}, true},
	actionSplit:         {[]string{subjectDaemon, subjectCore, subjectTarget, subjectZone, subjectRegion}, true},
	actionReplaceCore:   {[]string{subjectCore}, false},
	actionStallDisk:     {[]string{subjectStore}, true},
	actionLoseZone:      {[]string{subjectZone}, true},
	actionLoseRegion:    {[]string{subjectRegion}, true},
	actionDrainZone:     {[]string{subjectZone}, true},
	actionHotZone:       {[]string{subjectZone}, true},
	actionBurst:         {[]string{subjectOperators}, true},
	actionCrashTarget:   {[]string{subjectTarget}, true},
	actionDrainTarget:   {[]string{subjectTarget}, true},
	actionCorruptTarget: {[]string{subjectTarget}, true},
	actionSwapAddresses: {[]string{subjectTarget}, true},
	actionFreezeTarget:  {[]string{subjectTarget}, true},
	actionReplaceTarget: {[]string{subjectTarget}, false},
}

// subjectsByKind returns the names of all subjects of a plan.
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

// coversEveryZone reports whether one side of a split contains every zone.
func coversEveryZone(plan blueprint.Plan, side []string) bool {
	for i := range plan.Zones {
		zone := plan.Zone(i)
		if !slices.Contains(side, string(zone)) && !slices.Contains(side, plan.Region(zone)) {
			return false
		}
	}
	return true
}

// zonesOf returns the zones of a region, or the zone with the given name.
func zonesOf(plan blueprint.Plan, name string) []ids.Name {
	var zones []ids.Name
	for i := range plan.Zones {
		if zone := plan.Zone(i); plan.Region(zone) == name || string(zone) == name {
			zones = append(zones, zone)
		}
	}
	return zones
}
