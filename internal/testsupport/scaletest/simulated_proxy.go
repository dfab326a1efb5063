package scaletest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/process"
)

// tickInterval is the tick interval of a real proxy.
const tickInterval = 50 * time.Millisecond

// proxiesPerSubnet is the number of proxies that share the third octet of their loopback addresses.
const proxiesPerSubnet = 200

// simulatedProxy is the control state machine of a proxy with its transport. It has no HTTP server,
// no dispatchers and no connections to targets.
type simulatedProxy struct {
	eventLoop *process.EventLoop
	transport *process.Transport
	// mu guards status, which the HTTP server of the group also reads.
	mu     sync.Mutex
	status proxyStatus
	// serviceStates stands for the memory that the dispatchers of a real proxy use for the states
	// of services. Only the event loop's goroutine accesses it.
	serviceStates map[ids.Name]dispatch.ServiceState
}

// proxyStatus is the part of a proxy's state that the group exposes.
type proxyStatus struct {
	ready, leaseValid bool
	revision          ids.Revision
	// The times of the last changes of the configuration and of the serving state.
	configurationChangedAt, servingStateChangedAt time.Time
}

// proxyAddress returns the address of the nth proxy.
func proxyAddress(block, n int) ids.Address {
	return ids.Address(fmt.Sprintf("127.%d.%d.%d:%d", block, firstProxyOctet+n/proxiesPerSubnet, n%proxiesPerSubnet+1, wirePort))
}

// newSimulatedProxy returns the nth proxy of a fleet. It initially knows only itself and the seeds.
func newSimulatedProxy(o ProxyGroupOptions, n int, seeds []ids.Address, log *process.Log, stats *process.TrafficStats) *simulatedProxy {
	address := proxyAddress(o.LoopbackBlock, n)
	self := membership.Member{
		ID: ids.DaemonID(fmt.Sprintf("proxy-%d", n+1)), Role: membership.Proxy, Address: address, HTTPAddress: address,
		Zone: Size{Zones: o.Zones, Regions: 1}.Zone(n), RunID: ids.RunID(rand.Uint64()>>24 | 1), Incarnation: ids.Incarnation(time.Now().UnixMilli()),
	}
	var controlOptions proxy.ControlOptions
	if o.Thrifty {
		controlOptions = proxy.ControlOptions{Lease: proxy.UnlimitedLease, SlotLayout: proxy.SlotLayout{ByZone: true}}
	}
	control := proxy.New(membership.Options{Self: self, Seeds: seeds, Incremental: o.Thrifty}, controlOptions)
	p := &simulatedProxy{serviceStates: map[ids.Name]dispatch.ServiceState{}}
	p.transport = &process.Transport{
		Address: address, Log: log, Stats: stats,
		Deliver: func(from ids.Address, msg any) { p.eventLoop.Offer(event.Received{From: from, Message: msg}) },
	}
	p.eventLoop = process.NewEventLoop(control, tickInterval, p.execute)
	return p
}

// execute executes a command of the control state machine as a real proxy does. It ignores commands
// that concern requests.
func (p *simulatedProxy) execute(c event.Command) {
	switch c := c.(type) {
	case event.Send:
		p.transport.Send(c.To, c.Message)
	case proxy.DispatchEvent:
		if state, ok := c.Event.(dispatch.ServiceState); ok {
			p.serviceStates[c.Service] = state
		}
	case proxy.UpdateRoutes:
		p.mu.Lock()
		p.status.revision, p.status.configurationChangedAt = c.View.Revision, time.Now()
		p.mu.Unlock()
	case proxy.ServingState:
		p.mu.Lock()
		if p.status.ready != c.Ready || p.status.leaseValid != c.LeaseValid {
			p.status.servingStateChangedAt = time.Now()
		}
		p.status.ready, p.status.leaseValid = c.Ready, c.LeaseValid
		p.mu.Unlock()
	}
}

// ProxyState is the state of a simulated proxy in the response to GET /state.
type ProxyState struct {
	Ready      bool  `json:"ready"`
	LeaseValid bool  `json:"in_step"`
	Revision   int64 `json:"revision"`
	// ConfigurationChangedAt and ServingStateChangedAt are Unix times in nanoseconds. They are
	// comparable because the whole fleet runs on one machine.
	ConfigurationChangedAt int64 `json:"adopted"`
	ServingStateChangedAt  int64 `json:"stood"`
}

// state returns the state of the proxy. It is safe for concurrent use.
func (p *simulatedProxy) state() ProxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ProxyState{
		Ready: p.status.ready, LeaseValid: p.status.leaseValid, Revision: int64(p.status.revision),
		ConfigurationChangedAt: p.status.configurationChangedAt.UnixNano(), ServingStateChangedAt: p.status.servingStateChangedAt.UnixNano(),
	}
}
