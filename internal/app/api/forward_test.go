package api

import (
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
)

// The forwarder must try the next registry after a 503. If a connection broke after a change
// was sent, it must not answer 503, which means that the change had no effect.
func TestForwarder_TriesNextRegistry(t *testing.T) {
	minority, majority := newRegistryAnswering(t, 503), newRegistryAnswering(t, 200)
	breaking, closed := newBreakingRegistry(t), closedAddress(t)
	for name, c := range map[string]struct {
		method     string
		registries []ids.Address
		want       int
	}{
		"the first has a majority":                 {"PUT", []ids.Address{majority, minority}, 200},
		"the first is cut off":                     {"PUT", []ids.Address{minority, majority}, 200},
		"the first is down":                        {"PUT", []ids.Address{closed, majority}, 200},
		"all are cut off":                          {"PUT", []ids.Address{minority, minority}, 503},
		"all are down":                             {"PUT", []ids.Address{closed, closed}, 503},
		"none is known":                            {"PUT", nil, 503},
		"a connection breaks":                      {"PUT", []ids.Address{breaking}, 504},
		"a connection breaks, the next is cut off": {"PUT", []ids.Address{breaking, minority}, 504},
		"the connection of a read breaks, the next is cut off": {"GET", []ids.Address{breaking, minority}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			rw := forward(forwarderTo(c.registries...), c.method)
			if rw.Code != c.want || rw.Code >= 500 && rw.Header().Get("Retry-After") == "" {
				t.Errorf("got status %d with headers %v", rw.Code, rw.Header())
			}
			if responseTime := time.Since(start); responseTime > time.Second {
				t.Errorf("answered after %s", responseTime)
			}
		})
	}
}
