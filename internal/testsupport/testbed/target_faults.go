package testbed

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// drainTime is the time between the drain of a target and its exit; proxies must stop
	// sending requests to it within 3 s.
	drainTime = 4 * time.Second
	// faultyLostPercent and faultyCorruptPercent are the percentages of responses that a
	// faulty target loses and corrupts.
	faultyLostPercent    = 20
	faultyCorruptPercent = 10
	// firstReplacementIndex is the base of the address indices of replacement targets;
	// indices repeat after maxReplacementsOfFleet replacements.
	firstReplacementIndex  = 200
	maxReplacementsOfFleet = 50
)

// startCold restarts a target, which then warms up.
func (tb *Testbed) startCold(t *Target) {
	if err := t.Start(true); err != nil {
		tb.Checker.Violation("start %s: %v", t.Instance, err)
	}
}

// faultTarget runs a step whose subject is a target.
func (tb *Testbed) faultTarget(step Step, t *Target, waitFault func()) {
	switch step.Action {
	case actionCrashTarget:
		t.Crash()
		waitFault()
		tb.startCold(t)
	case actionDrainTarget:
		drainAndExit(t)
		waitFault()
		tb.startCold(t)
	case actionFreezeTarget:
		t.Freeze(time.Duration(step.For))
	case actionReplaceTarget:
		tb.replaceTarget(t)
	case actionCorruptTarget:
		t.LostPercent.Store(faultyLostPercent)
		t.CorruptPercent.Store(faultyCorruptPercent)
		waitFault()
		t.LostPercent.Store(0)
		t.CorruptPercent.Store(0)
	case actionSwapAddresses:
		tb.swapAddresses(t, waitFault)
	}
}

func drainAndExit(t *Target) {
	t.Drain()
	time.Sleep(drainTime)
	t.Crash()
}

// swapAddresses crashes a target and one of another service, and restarts each at the
// other's address, the first one after the fault's duration. Proxies must detect that an
// address now belongs to another service.
func (tb *Testbed) swapAddresses(t *Target, waitFault func()) {
	for _, other := range tb.Targets {
		if other.Service == t.Service {
			continue
		}
		t.Crash()
		other.Crash()
		t.Address, other.Address = other.Address, t.Address
		t.listenAddress, other.listenAddress = other.listenAddress, t.listenAddress
		tb.startCold(other)
		waitFault()
		tb.startCold(t)
		return
	}
}

// replaceTarget drains a target, and starts a replacement of the same service with a new
// name and address.
func (tb *Testbed) replaceTarget(t *Target) {
	drainAndExit(t)
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	tb.replacedTargets++
	n := firstReplacementIndex + tb.replacedTargets%maxReplacementsOfFleet
	zone := tb.zoneIndex(t.Zone)
	address, err := loopbackAddress(zone, targetOctet, n, 0)
	if err == nil && tb.relay != nil {
		t.listenAddress, err = tb.relayTo(address, zone, targetOctet, n)
	}
	if err != nil {
		tb.Checker.Violation("replace %s: %v", t.Instance, err)
		return
	}
	t.Instance, t.Address = ids.InstanceID(fmt.Sprintf("%s-new-%d", t.Service, tb.replacedTargets)), address
	tb.startCold(t)
}
