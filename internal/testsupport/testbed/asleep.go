package testbed

import (
	"strings"
	"time"
)

// silenceTimeout is how long without an announcement counts as gone, and some.
const silenceTimeout = 3500 * time.Millisecond

// Silence notes that the core can't hear from it any more, or can again.
func (t *Target) Silence(on bool) {
	if !on {
		t.silent.Store(0)
		return
	}
	t.silent.Store(time.Now().UnixNano())
	t.Checker.NetworkPartitioned()
}

// Freeze holds everything it does for a while; its connections stay open.
func (t *Target) Freeze(d time.Duration) {
	t.gate.Lock()
	t.Silence(true)
	time.Sleep(d)
	t.Silence(false)
	t.gate.Unlock()
}

// carrier reads a proxy's name off the id that it gives its requests.
func carrier(id string) string {
	for range 2 {
		if at := strings.LastIndex(id, "-"); at > 0 {
			id = id[:at]
		}
	}
	return id
}
