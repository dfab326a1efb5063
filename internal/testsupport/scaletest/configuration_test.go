package scaletest

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/state/configuration"
)

// Every change of the generated configuration is accepted, and the length of the result is close to
// the estimate.
func TestConfigurationChanges_AreAccepted(t *testing.T) {
	is := is.New(t)
	s := Size{Proxies: 1, Services: 7, Routes: 40, Tenants: 3000, Zones: 4, Regions: 2, Core: 3}
	p, err := configuration.Decode(nil)
	is.NoErr(err)
	apply := func(raw []byte) {
		c, violations := configuration.ReadChange(raw)
		is.Equal(len(violations), 0)
		next, res := p.Apply(c)
		is.True(res.Accepted())
		p = next
	}
	for _, raw := range s.ConfigurationChanges() {
		apply(raw)
	}
	is.Equal(len(p.Routes), 3040)
	is.Equal(len(p.Services), 7)
	is.Equal(len(p.Zones), 4)
	size, estimated := len(p.Encode(false)), s.ConfigurationBytes()
	is.True(estimated > size*8/10 && estimated < size*12/10)
	rev := p.Revision
	apply(s.RouteChange("a", 3))
	is.Equal(p.Revision, rev+1)
	var body struct {
		Limit int `json:"limit_ms"`
	}
	is.NoErr(json.Unmarshal(p.Routes["route-4"].Body, &body))
	is.Equal(body.Limit, 4003)
}

// The bodies of the requests to registries, byte for byte.
func TestRequestBodies(t *testing.T) {
	is := is.New(t)
	s := Size{Proxies: 1, Targets: 9, Services: 1, Routes: 1, Tenants: 1, Zones: 1, Regions: 1, Core: 3}
	changes := s.ConfigurationChanges()
	is.Equal(len(changes), 1)
	is.Equal(string(changes[0]), `{"changes":[`+
		`{"kind":"cell","name":"cell-1","put":{"region":"region-1","target":8500}},`+
		`{"kind":"service","name":"service-1","put":{"allowance":10,"capacity":16,"tier":0,"warm_ms":3000}},`+
		`{"kind":"route","name":"route-1","put":{"limit_ms":5000,"prefix":"/r1","repeatable":false,"service":"service-1","tier":0}},`+
		`{"kind":"route","name":"tenant-1","put":{"host":"t000001.example","limit_ms":5000,"prefix":"/","repeatable":true,"service":"service-1","tier":0}}`+
		`],"id":"hollow-0"}`)
	is.Equal(string(s.RouteChange("change", 2)), `{"changes":[{"kind":"route","name":"route-1","set":{"limit_ms":4002}}],"id":"hollow-change-2"}`)
	sender := newHeartbeatSender(newFleet(Options{LoopbackBlock: 220, HeartbeatInterval: 2 * time.Second, ProxiesPerGroup: 1}, s))
	is.Equal(string(mustJSON(sender.nextAnnouncement(8))), `{"address":"127.220.200.9:8000","capacity":16,"cell":"cell-1","incarnation":1,"instance":"target-9",`+
		`"interval_ms":2000,"occupancy":1,"sequence":1,"service":"service-1","warmth":1}`)
}
