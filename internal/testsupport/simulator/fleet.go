package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// seeds returns the addresses of the first three stores.
func (w *World) seeds() []ids.Address {
	return []ids.Address{"10.9.1.1:1", "10.9.1.2:1", "10.9.1.3:1"}
}

// addProcess adds a process without starting it.
func (w *World) addProcess(role membership.Role, name string, zone ids.Name, addr ids.Address) *process {
	p := &process{world: w, name: name, role: role, zone: zone, address: addr, seeds: w.seeds()}
	if role == membership.Store {
		p.disk = newDisk(w)
	}
	w.processes = append(w.processes, p)
	w.processByAddress[addr] = p
	return p
}

// build schedules the start of the plan's processes and targets, with the same layout as the
// testbed.
func (w *World) build() {
	for i, role := range []membership.Role{membership.Store, membership.Registry, membership.Proxy} {
		n := 3
		if role == membership.Proxy {
			n = w.Plan.Proxies
		}
		for k := range n {
			p := w.addProcess(role, fmt.Sprintf("%s-%d", role, k+1), w.Plan.Zone(k), ids.Address(fmt.Sprintf("10.9.%d.%d:1", i+1, k+1)))
			p.bootstrap = true
			w.schedule(w.randomDuration(0, 300*time.Millisecond), func() {
				p.start()
				p.bootstrap = w.StaleBootstrap
			})
		}
	}
	for range w.Replicas - 3 {
		w.schedule(2500*time.Millisecond, func() { w.addStore(w.Plan.Zone(0)) })
	}
	n := 0
	for _, pool := range w.Plan.Pools {
		for i := range pool.Targets {
			t := &target{
				world: w, id: pool.Instance(i), service: pool.Service, zone: w.Plan.Zone(n), capacity: pool.Capacity,
				address: ids.Address(fmt.Sprintf("10.9.9.%d:1", n+1)),
			}
			w.targets = append(w.targets, t)
			w.schedule(2*time.Second, func() { t.start(false) })
			n++
		}
	}
}

// randomProcess draws a process that has not been removed, of the given role or, if it is 0, of any
// role.
func (w *World) randomProcess(role membership.Role) *process {
	candidates := w.remainingProcesses(role)
	return candidates[w.random.IntN(len(candidates))]
}

// remainingProcesses returns the processes that have not been removed, of the given role or, if it
// is 0, of all roles.
func (w *World) remainingProcesses(role membership.Role) []*process {
	var out []*process
	for _, p := range w.processes {
		if !p.removed && (role == 0 || p.role == role) {
			out = append(out, p)
		}
	}
	return out
}

// coreProcesses returns the stores and registries that have not been removed.
func (w *World) coreProcesses() []*process {
	return append(w.remainingProcesses(membership.Store), w.remainingProcesses(membership.Registry)...)
}

// processByName returns the process with a name, or nil if there is none.
func (w *World) processByName(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}
