package proxy

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

const (
	// cutOffTimeout is the age of the last confirmation of the targets after which the proxy
	// counts as cut off. Registries push several times a second.
	cutOffTimeout = 1500 * time.Millisecond
	// cutOffTimeoutByZone replaces cutOffTimeout with SlotLayout.ByZone, where registries
	// push to an up-to-date proxy only once a second.
	cutOffTimeoutByZone = 2 * cutOffTimeout
	// zoneDrainDelay is how long a proxy in a drained zone keeps forwarding to other zones,
	// for clients that the directory sent to it before the drain.
	zoneDrainDelay = 2 * time.Second
)

// drainState is the drain state of this proxy's zone.
type drainState struct {
	// drainedSince is the time at which this proxy learned of the drain; 0 if the zone isn't
	// drained.
	drainedSince ids.Time
	// drainedWithoutLease is set if this proxy had no valid lease at that time. It may have
	// learned of the drain late, so zoneDrainDelay doesn't apply.
	drainedWithoutLease bool
}

// updateDrainState updates the drain state after a configuration change. hadLease states whether
// the lease was valid before it.
func (c *Control) updateDrainState(now ids.Time, hadLease bool) {
	switch {
	case !c.view.Zones[c.Self.Zone].Drained:
		c.drainState = drainState{}
	case c.drainedSince == 0:
		c.drainState = drainState{drainedSince: now, drainedWithoutLease: !hadLease}
	}
}

// zoneClosed reports whether requests may no longer be forwarded because the zone is drained.
func (c *Control) zoneClosed(now ids.Time) bool {
	return c.drainedSince != 0 && (c.drainedWithoutLease || now.Sub(c.drainedSince) >= zoneDrainDelay)
}

// ready reports whether the directory may return this proxy to clients: its lease is valid and not
// about to expire.
func (c *Control) ready(now ids.Time) bool {
	if c.stopping || !c.leaseValid(now) {
		return false
	}
	return c.Lease == UnlimitedLease || !c.cutOff(now) && now.Sub(c.confirmedAt()) < maxConfirmationAge
}

// cutOff reports whether the targets haven't been confirmed recently, neither by a registry nor by
// the LeaseGossip of a proxy that a registry reaches.
func (c *Control) cutOff(now ids.Time) bool {
	timeout := cutOffTimeout
	if c.ByZone {
		timeout = cutOffTimeoutByZone
	}
	return c.targetsConfirmedAt != 0 && now.Sub(c.targetsConfirmedAt) > timeout
}

// announceStop notifies every registry that this proxy is no longer ready, so that the directory
// stops returning it while requests in flight are finished.
func (c *Control) announceStop() {
	c.stopping = true
	c.UpdateSelf(false, c.view.Revision)
	for _, registry := range c.Live(membership.Registry) {
		c.Send(registry.Address, membership.Snapshot{Members: []membership.Member{c.Self}, Final: true})
	}
}

// publishServingState emits the serving state if it or the membership list has changed, and logs
// changes of readiness.
func (c *Control) publishServingState(now ids.Time) {
	next := ServingState{Ready: c.ready(now), LeaseValid: c.leaseValid(now), CutOff: c.cutOff(now), ZoneDrained: c.drainedSince != 0}
	sent := c.servingState
	readyChanged, cutOffChanged := next.Ready != sent.Ready, next.CutOff != sent.CutOff
	if !readyChanged && !cutOffChanged && next.ZoneDrained == sent.ZoneDrained && next.LeaseValid == sent.LeaseValid && c.sentMembersVersion == c.Version() {
		return
	}
	if readyChanged || cutOffChanged {
		c.Log(event.LevelInfo, logServingStateChanged, "ready", strconv.FormatBool(next.Ready), "cut_off", strconv.FormatBool(next.CutOff))
	}
	next.Members = c.All()
	c.servingState, c.sentMembersVersion = next, c.Version()
	c.Emit(next)
}
