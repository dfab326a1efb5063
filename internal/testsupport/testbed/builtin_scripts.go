package testbed

import (
	"time"

	"dunlinwell/internal/testsupport/blueprint"
)

// hotZoneRecovery is the time between the end of a hot zone and the end of the load,
// during which traffic moves back.
const hotZoneRecovery = 160 * time.Second

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

// SequentialFaultsScript returns a script that takes down a core machine, a zone and a region one
// after another, kills all proxies at once, and drains a zone.
func SequentialFaultsScript(plan blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(5), actionKill, "registry-2", seconds(6), 0},
		{seconds(5), actionReplaceCore, "core-1", 0, 0},
		{seconds(25), actionLoseZone, string(plan.Zone(1)), seconds(6), 0},
		{seconds(45), actionLoseRegion, plan.Region(plan.Zone(2)), seconds(6), 0},
		{seconds(65), actionKillRole, proxyRole, seconds(2), 0},
		{seconds(80), actionDrainZone, string(plan.Zone(0)), seconds(12), 0},
	}}
}

// WorstCaseScript returns a script with overlapping faults of most kinds: a hot zone,
// bursts of changes, the loss of a region and a core machine frozen as it returns,
// drained zones, a stalled disk, partitions, targets frozen, unreachable and replaced,
// a replaced core machine, and finally all daemons killed.
func WorstCaseScript(plan blueprint.Plan) *Script {
	pool := plan.Pools[0]
	return &Script{Steps: []Step{
		{seconds(4), actionHotZone, string(plan.Zone(0)), seconds(70), 0},
		{seconds(6), actionBurst, "operators", seconds(4), 300},
		{seconds(12), actionStallDisk, "store-3", seconds(4), 0},
		{seconds(18), actionLoseRegion, plan.Region(plan.Zone(1)), seconds(7), 0},
		{seconds(19), actionDrainZone, string(plan.Zone(2)), seconds(11), 0},
		{seconds(25), actionFreeze, "core-1", seconds(5), 0},
		{seconds(34), actionFreezeTarget, string(pool.Instance(0)), seconds(8), 0},
		{seconds(35), actionCutOut, string(pool.Instance(1)), seconds(9), 0},
		{seconds(36), actionReplaceTarget, string(pool.Instance(2)), 0, 0},
		{seconds(38), actionCut, "proxy-2", seconds(7), 0},
		{seconds(46), actionSplit, "core-1+" + plan.Region(plan.Zone(0)), seconds(8), 0},
		{seconds(47), actionDrainZone, string(plan.Zone(1)), seconds(10), 0},
		{seconds(58), actionReplaceCore, "core-2", 0, 0},
		{seconds(60), actionBurst, "operators", seconds(4), 300},
		{seconds(74), actionSwapAddresses, string(pool.Instance(3)), seconds(4), 0},
		{seconds(80), actionKillRole, proxyRole, seconds(2), 0},
		{seconds(80), actionKillRole, registryRole, seconds(3), 0},
		{seconds(80), actionKillRole, storeRole, seconds(2), 0},
	}}
}

// ReplacementScript returns a script that replaces all three core machines, one after another.
func ReplacementScript(blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(4), actionReplaceCore, "core-1", 0, 0},
		{seconds(26), actionReplaceCore, "core-2", 0, 0},
		{seconds(48), actionReplaceCore, "core-3", 0, 0},
		{seconds(50), actionBurst, "operators", seconds(3), 150},
	}}
}

// HotZoneScript returns a script with one hot zone for most of the given length.
func HotZoneScript(plan blueprint.Plan, length time.Duration) *Script {
	return &Script{Steps: []Step{{seconds(20), actionHotZone, string(plan.Zone(0)), Duration(length - hotZoneRecovery), 0}}}
}
