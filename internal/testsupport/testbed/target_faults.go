package testbed

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// drainTime is how long a draining target still serves before it exits: the
	// proxies must stop sending within 3 s.
	drainTime = 4 * time.Second
	// faultyLostPercent and faultyCorruptPercent are how many answers of a hundred a
	// faulty target loses and corrupts.
	faultyLostPercent    = 20
	faultyCorruptPercent = 10
	// firstReplacementIndex is the first index of the addresses of replacements, of
	// which there are maxReplacementsOfFleet.
	firstReplacementIndex  = 200
	maxReplacementsOfFleet = 50
)

// startCold starts a target again.
func (tb *Testbed) startCold(t *Target) {
	if err := t.Start(true); err != nil {
		tb.Checker.Violation("start %s: %v", t.Instance, err)
	}
}

// faultTarget runs a step that concerns one target.
func (tb *Testbed) faultTarget(step Step, t *Target, hold func()) {
	switch step.Action {
	case actionCrashTarget:
		t.Crash()
		hold()
		tb.startCold(t)
	case actionDrainTarget:
		drainAndExit(t)
		hold()
		tb.startCold(t)
	case actionFreezeTarget:
		t.Freeze(time.Duration(step.For))
	case actionReplaceTarget:
		tb.replaceTarget(t)
	case actionCorruptTarget:
		t.LostPercent.Store(faultyLostPercent)
		t.CorruptPercent.Store(faultyCorruptPercent)
		hold()
		t.LostPercent.Store(0)
		t.CorruptPercent.Store(0)
	case actionExchangeTargets:
		tb.exchangeAddresses(t, hold)
	}
}

func drainAndExit(t *Target) {
	t.Drain()
	time.Sleep(drainTime)
	t.Crash()
}

// exchangeAddresses crashes a target and one of another service, and starts each
// at the other's address, this one later: proxies must find out that the address
// they know belongs to another service now.
func (tb *Testbed) exchangeAddresses(t *Target, hold func()) {
	for _, other := range tb.Targets {
		if other.Service == t.Service {
			continue
		}
		t.Crash()
		other.Crash()
		t.Address, other.Address = other.Address, t.Address
		t.listenAddress, other.listenAddress = other.listenAddress, t.listenAddress
		tb.startCold(other)
		hold()
		tb.startCold(t)
		return
	}
}

// replaceTarget drains a target, and starts another of its service in its place,
// with a new name and address, for good.
func (tb *Testbed) replaceTarget(t *Target) {
	drainAndExit(t)
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	tb.replacedTargets++
	n := firstReplacementIndex + tb.replacedTargets%maxReplacementsOfFleet
	zone := tb.zoneIndex(t.Zone)
	address, err := loopbackAddress(zone, targetNumber, n, 0)
	if err == nil && tb.relay != nil {
		t.listenAddress, err = tb.relayTo(address, zone, targetNumber, n)
	}
	if err != nil {
		tb.Checker.Violation("replace %s: %v", t.Instance, err)
		return
	}
	t.Instance, t.Address = ids.InstanceID(fmt.Sprintf("%s-new-%d", t.Service, tb.replacedTargets)), address
	tb.startCold(t)
}
