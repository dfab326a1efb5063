package testbed

import (
	"strings"
	"time"
)

// registrarTimeout is how long without an announcement counts as gone, and some.
const registrarTimeout = 3500 * time.Millisecond

// SetUnreachable notes that the core can't hear from it any more, or can again.
func (t *Target) SetUnreachable(on bool) {
	if !on {
		t.unreachableSince.Store(0)
		return
	}
	t.unreachableSince.Store(time.Now().UnixNano())
	t.Checker.NetworkPartitioned()
}

// Freeze holds everything it does for a while; its connections stay open.
func (t *Target) Freeze(d time.Duration) {
	t.freezeLock.Lock()
	t.SetUnreachable(true)
	time.Sleep(d)
	t.SetUnreachable(false)
	t.freezeLock.Unlock()
}

// proxyOfRequestID reads a proxy's name off the id that it gives its requests.
func proxyOfRequestID(id string) string {
	for range 2 {
		if at := strings.LastIndex(id, "-"); at > 0 {
			id = id[:at]
		}
	}
	return id
}
