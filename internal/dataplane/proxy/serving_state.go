package proxy

import (
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

const (
	// cutOffTimeout is how long without a confirmation of the targets counts as being cut
	// off; registries push several times a second.
	cutOffTimeout = 1500 * time.Millisecond
	// cutOffTimeoutByZone is the same in a fleet by zone, where a proxy that has nothing
	// new gets one push a second.
	cutOffTimeoutByZone = 2 * cutOffTimeout
	// zoneDrainDelay is how long a drained zone's proxy goes on forwarding to other
	// zones, for clients that the directory sent here before.
	zoneDrainDelay = 2 * time.Second
)

// drainState says whether this proxy's own zone is being drained.
type drainState struct {
	// drainedSince is when this proxy learned of it; 0 for not drained.
	drainedSince ids.Time
	// drainedWithoutLease: this proxy had no valid lease at that moment, so it may have learned
	// of it late and closes without zoneDrainDelay.
	drainedWithoutLease bool
}

// updateDrainState updates the drain state after a change of configuration.
func (c *Control) updateDrainState(now ids.Time, hadLease bool) {
	switch {
	case !c.view.Zones[c.Self.Zone].Drained:
		c.drainState = drainState{}
	case c.drainedSince == 0:
		c.drainState = drainState{drainedSince: now, drainedWithoutLease: !hadLease}
	}
}

// zoneClosed tells whether requests may no longer be forwarded because the zone is drained.
func (c *Control) zoneClosed(now ids.Time) bool {
	return c.drainedSince != 0 && (c.drainedWithoutLease || now.Sub(c.drainedSince) >= zoneDrainDelay)
}

// ready tells whether the directory may name this proxy to clients: its lease is valid
// and not about to end. cutOff looks at the targets alone, with the shorter time.
func (c *Control) ready(now ids.Time) bool {
	if c.stopping || !c.leaseValid(now) {
		return false
	}
	return c.Lease == EndlessLease || !c.cutOff(now) && now.Sub(c.confirmedAt()) < maxConfirmationAge
}

// cutOff tells whether the targets haven't been confirmed for a while, by a registry or, in
// a LeaseGossip, by another proxy that a registry reaches.
func (c *Control) cutOff(now ids.Time) bool {
	timeout := cutOffTimeout
	if c.ByZone {
		timeout = cutOffTimeoutByZone
	}
	return c.targetsConfirmedAt != 0 && now.Sub(c.targetsConfirmedAt) > timeout
}

// announceStop tells every registry at once that this proxy is no longer ready, so that
// the directory names it to nobody while requests in flight are finished.
func (c *Control) announceStop() {
	c.stopping = true
	c.UpdateSelf(false, c.view.Revision)
	for _, registry := range c.Live(membership.Registry) {
		c.Send(registry.Address, membership.Snapshot{Members: []membership.Member{c.Self}, Final: true})
	}
}

// publishServingState emits the serving state if it or the membership list has changed.
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
