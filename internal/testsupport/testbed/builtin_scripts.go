package testbed

import (
	"time"

	"dunlinwell/internal/testsupport/blueprint"
)

// hotZoneRecovery is how long before the end of the load a hot zone cools, so that
// the moves back are seen.
const hotZoneRecovery = 160 * time.Second

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

// GrandScript loses a core machine, a zone and a region in turn, each restored
// before the next, kills all proxies at once, and drains a zone.
func GrandScript(plan blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(5), actionKill, "registry-2", seconds(6), 0},
		{seconds(5), actionReplaceCore, "core-1", 0, 0},
		{seconds(25), actionLoseZone, string(plan.Zone(1)), seconds(6), 0},
		{seconds(45), actionLoseRegion, plan.Region(plan.Zone(2)), seconds(6), 0},
		{seconds(65), actionKillRole, proxyRole, seconds(2), 0},
		{seconds(80), actionDrainZone, string(plan.Zone(0)), seconds(12), 0},
	}}
}

// WorstCaseScript combines everything: a hot zone, bursts of changes, a region
// lost and a core machine frozen as it returns, drained zones, a stalled disk, a
// partition, targets frozen, unreachable and replaced, a core machine replaced,
// and at the end all daemons killed.
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
		{seconds(74), actionExchangeTargets, string(pool.Instance(3)), seconds(4), 0},
		{seconds(80), actionKillRole, proxyRole, seconds(2), 0},
		{seconds(80), actionKillRole, registryRole, seconds(3), 0},
		{seconds(80), actionKillRole, storeRole, seconds(2), 0},
	}}
}

// ReplacementScript replaces all three core machines in turn.
func ReplacementScript(blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(4), actionReplaceCore, "core-1", 0, 0},
		{seconds(26), actionReplaceCore, "core-2", 0, 0},
		{seconds(48), actionReplaceCore, "core-3", 0, 0},
		{seconds(50), actionBurst, "operators", seconds(3), 150},
	}}
}

// HotZoneScript makes one zone hot, for several rounds of planning.
func HotZoneScript(plan blueprint.Plan, length time.Duration) *Script {
	return &Script{Steps: []Step{{seconds(20), actionHotZone, string(plan.Zone(0)), Duration(length - hotZoneRecovery), 0}}}
}
