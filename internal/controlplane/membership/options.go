package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Defaults of Options. A suspicion timeout spans at least three heartbeat intervals, so that a
// member isn't suspected because of one or two lost heartbeats.
const (
	defaultWatchers          = 3
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultSuspicionTimeout  = time.Second
	// incrementalHeartbeatInterval and incrementalSuspicionTimeout are the defaults for an
	// incremental list, which is meant for large clusters.
	incrementalHeartbeatInterval = 400 * time.Millisecond
	incrementalSuspicionTimeout  = 1200 * time.Millisecond
)

// Options are the options of a List. Zero values are replaced by the defaults.
type Options struct {
	// Self is the daemon's own entry.
	Self Member
	// Seeds are the addresses of the members through which the daemon joins.
	Seeds []ids.Address
	// Watchers is the number of members that watch each member; 3 by default. All daemons must
	// use the same number.
	Watchers int
	// HeartbeatInterval is the time between two heartbeats; 250 ms by default, or
	// 400 ms if Incremental is set and SuspicionTimeout is zero.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is the minimum silence after which a member is suspected; 1 s by default,
	// or 1.2 s if Incremental is set and HeartbeatInterval is zero.
	SuspicionTimeout time.Duration
	// Incremental limits the size of messages in large clusters: lists that differ are
	// compared part by part, and registries relay changes. Otherwise whole lists are sent.
	Incremental bool
}

// setDefaults replaces zero values with the defaults.
func (o *Options) setDefaults() {
	if o.Watchers == 0 {
		o.Watchers = defaultWatchers
	}
	if o.Incremental && o.HeartbeatInterval == 0 && o.SuspicionTimeout == 0 {
		o.HeartbeatInterval, o.SuspicionTimeout = incrementalHeartbeatInterval, incrementalSuspicionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.SuspicionTimeout == 0 {
		o.SuspicionTimeout = defaultSuspicionTimeout
	}
}
