package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"time"
)

// Check rejects sizes that this machine has no room for.
func (o Options) Check() error {
	l, err := MachineLimits()
	if err != nil {
		return err
	}
	for _, s := range o.Sizes {
		if err := RequirementsOf(s, o.ProxiesPerGroup).CheckFits(s, l); err != nil {
			return err
		}
	}
	return nil
}

// RunSizes runs every size in turn, once all of them are found to fit.
func RunSizes(ctx context.Context, p Options) ([]Run, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	var out []Run
	for i, s := range p.Sizes {
		p.Progress(fmt.Sprintf("run %d of %d: %s", i+1, len(p.Sizes), s))
		r, err := runSize(ctx, p, s)
		if err != nil {
			return out, err
		}
		out = append(out, r)
		if ctx.Err() != nil {
			break
		}
	}
	return out, nil
}

// sizeRun is one run under way.
type sizeRun struct {
	*fleet
	result   *Run
	ctx      context.Context
	targets  *targets
	revision int64
}

// runSize plays all phases of one size, as far as they go.
func runSize(ctx context.Context, p Options, s Size) (Run, error) {
	r := Run{Size: s, Thrifty: p.Thrifty, Cores: runtime.NumCPU(), Threads: runtime.GOMAXPROCS(0), Changes: p.Changes}
	// An earlier run's folders would found another fleet.
	if err := os.RemoveAll(p.Dir); err != nil {
		return r, err
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return r, err
	}
	f := newFleet(p, s)
	defer f.killRole("")
	if err := f.startRole(""); err != nil {
		return r, err
	}
	life, end := context.WithCancelCause(ctx)
	defer end(nil)
	go f.enforceMemoryLimit(life, end)
	x := &sizeRun{fleet: f, result: &r, ctx: life, targets: newTargets(f)}
	for _, phase := range []struct {
		name string
		do   func(*Phase)
	}{
		{"start", x.awaitStart},
		{"policy", x.loadConfiguration},
		{"targets", x.announceTargets},
		{"steady", x.steadyState},
		{"change", x.applyChanges},
		{"registry-lost", x.restartRegistry},
		{"proxies-back", x.restartProxies},
	} {
		ph := Phase{Name: phase.name}
		before := f.measure(true)
		from := time.Now()
		phase.do(&ph)
		ph.Seconds = time.Since(from).Seconds()
		after := f.measure(false)
		for _, role := range roles {
			ph.Usages = append(ph.Usages, usageBetween(role, before[role], after[role]))
		}
		r.Phases = append(r.Phases, ph)
		p.Progress(fmt.Sprintf("  %-14s %6.1f s  done %v  %s", ph.Name, ph.Seconds, ph.Completed, ph.Note))
		if life.Err() != nil {
			r.Stopped = fmt.Sprintf("%s: %v; %s", ph.Name, context.Cause(life), ph.Note)
			break
		}
		if !ph.Completed {
			r.Stopped = ph.Name + ": " + ph.Note
			break
		}
	}
	r.LoadAverage = loadAverage()
	return r, nil
}

// enforceMemoryLimit ends a run that grows beyond half of the machine's memory: what waits
// in inboxes while a fleet can't keep up is in no estimate.
func (f *fleet) enforceMemoryLimit(ctx context.Context, end context.CancelCauseFunc) {
	l, err := MachineLimits()
	if err != nil {
		return
	}
	_, over := waitUntil(ctx, 24*time.Hour, time.Second, func() bool {
		held := 0.0
		for _, role := range roles {
			for _, p := range f.running(role) {
				var s processUsage
				s.readProc(f.pid(p))
				held += s.residentBytes
			}
		}
		return held > float64(l.Memory/2)
	})
	if over {
		end(fmt.Errorf("the fleet took over half of the machine's memory, %d MiB", l.Memory/2/mib))
		f.killRole("proxy")
	}
}

// awaitStart waits until all stores and registries answer and the fleet has
// found together: no proxy can be in step before there is a configuration.
func (r *sizeRun) awaitStart(phase *Phase) {
	_, phase.Completed = waitUntil(r.ctx, r.PhaseTimeout, 100*time.Millisecond, func() bool {
		return len(r.proxyStates()) == r.Size.Proxies && r.readyCore() == 3+r.Core
	})
	phase.Note = fmt.Sprintf("%d core daemons ready", r.readyCore())
}

// readyCore counts registries and voting stores that are ready.
func (r *sizeRun) readyCore() int {
	n := 0
	for _, role := range []string{"store", "registry"} {
		for i, p := range r.running(role) {
			if role == "store" && i >= 3 {
				break
			}
			if res, err := httpClient.Get("http://" + p.httpAddress + "/readyz"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					n++
				}
			}
		}
	}
	return n
}

// postChange makes a change through any registry; it gives the revision.
func (r *sizeRun) postChange(raw []byte) (int64, error) {
	var last error
	// An uncertain outcome is asked for again under the same id.
	for range 3 {
		for _, p := range r.running("registry") {
			res, err := httpClient.Post("http://"+p.httpAddress+"/v1/change", "application/json", bytes.NewReader(raw))
			if err != nil {
				last = err
				continue
			}
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				var r struct {
					Revision int64 `json:"revision"`
				}
				err := json.Unmarshal(body, &r)
				return r.Revision, err
			}
			last = fmt.Errorf("status %d: %.200s", res.StatusCode, body)
			if res.StatusCode < 500 {
				return 0, last
			}
		}
	}
	return 0, last
}

// awaitRevision waits until every proxy goes by a revision, and gives how long
// after the change was asked for each did.
func (r *sizeRun) awaitRevision(revision int64, start time.Time) ([]time.Duration, bool) {
	var stands []ProxyState
	_, ok := waitUntil(r.ctx, r.PhaseTimeout, 50*time.Millisecond, func() bool {
		stands = r.proxyStates()
		n := 0
		for _, s := range stands {
			if s.Revision >= revision {
				n++
			}
		}
		return n == r.Size.Proxies
	})
	var out []time.Duration
	for _, s := range stands {
		if s.Revision >= revision {
			out = append(out, time.Duration(s.ConfigurationChangedAt-start.UnixNano()))
		}
	}
	return out, ok
}

// readyProxies tells how many proxies are ready.
func (r *sizeRun) readyProxies() int {
	n := 0
	for _, s := range r.proxyStates() {
		if s.Ready {
			n++
		}
	}
	return n
}
