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
func (p Options) Check() error {
	l, err := Machine()
	if err != nil {
		return err
	}
	for _, s := range p.Sizes {
		if err := RequirementsOf(s, p.ProxiesPerGroup).Fits(s, l); err != nil {
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
		p.Show(fmt.Sprintf("run %d of %d: %s", i+1, len(p.Sizes), s))
		r, err := one(ctx, p, s)
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
	run      *Run
	ctx      context.Context
	targets  *targets
	revision int64
}

// one plays all phases of one size, as far as they go.
func one(ctx context.Context, p Options, s Size) (Run, error) {
	r := Run{Size: s, Thrifty: p.Thrifty, Cores: runtime.NumCPU(), Threads: runtime.GOMAXPROCS(0), Changes: p.Changes}
	// An earlier run's folders would found another fleet.
	if err := os.RemoveAll(p.Dir); err != nil {
		return r, err
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return r, err
	}
	f := layOut(p, s)
	defer f.killAll("")
	if err := f.startAll(""); err != nil {
		return r, err
	}
	life, end := context.WithCancelCause(ctx)
	defer end(nil)
	go f.guard(life, end)
	x := &sizeRun{fleet: f, run: &r, ctx: life, targets: newTargets(f)}
	for _, phase := range []struct {
		name string
		do   func(*Phase)
	}{
		{"start", x.starts},
		{"policy", x.configurations},
		{"targets", x.arrive},
		{"steady", x.steady},
		{"change", x.changes},
		{"registry-lost", x.registryLost},
		{"proxies-back", x.proxiesBack},
	} {
		ph := Phase{Name: phase.name}
		before := f.read(true)
		from := time.Now()
		phase.do(&ph)
		ph.Took = time.Since(from).Seconds()
		after := f.read(false)
		for _, role := range roles {
			ph.Usages = append(ph.Usages, between(role, before[role], after[role]))
		}
		r.Phases = append(r.Phases, ph)
		p.Show(fmt.Sprintf("  %-14s %6.1f s  done %v  %s", ph.Name, ph.Took, ph.Done, ph.Note))
		if life.Err() != nil {
			r.Stopped = fmt.Sprintf("%s: %v; %s", ph.Name, context.Cause(life), ph.Note)
			break
		}
		if !ph.Done {
			r.Stopped = ph.Name + ": " + ph.Note
			break
		}
	}
	r.Load = load()
	return r, nil
}

// guard ends a run that grows beyond half of the machine's memory: what waits
// in inboxes while a fleet can't keep up is in no estimate.
func (f *fleet) guard(ctx context.Context, end context.CancelCauseFunc) {
	l, err := Machine()
	if err != nil {
		return
	}
	_, over := until(ctx, 24*time.Hour, time.Second, func() bool {
		held := 0.0
		for _, role := range roles {
			for _, p := range f.of(role) {
				var s processUsage
				s.system(f.pid(p))
				held += s.resident
			}
		}
		return held > float64(l.Memory/2)
	})
	if over {
		end(fmt.Errorf("the fleet took over half of the machine's memory, %d MiB", l.Memory/2/mib))
		f.killAll("proxy")
	}
}

// starts waits until all stores and registries answer and the fleet has
// found together: no proxy can be in step before there is a configuration.
func (x *sizeRun) starts(ph *Phase) {
	_, ph.Done = until(x.ctx, x.PhaseTimeout, 100*time.Millisecond, func() bool {
		return len(x.stands()) == x.Size.Proxies && x.readyCore() == 3+x.Core
	})
	ph.Note = fmt.Sprintf("%d core daemons ready", x.readyCore())
}

// readyCore counts registries and voting stores that are ready.
func (x *sizeRun) readyCore() int {
	n := 0
	for _, role := range []string{"store", "registry"} {
		for i, p := range x.of(role) {
			if role == "store" && i >= 3 {
				break
			}
			if res, err := client.Get("http://" + p.http + "/readyz"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					n++
				}
			}
		}
	}
	return n
}

// post makes a change through any registry; it gives the revision.
func (x *sizeRun) post(raw []byte) (int64, error) {
	var last error
	// An uncertain outcome is asked for again under the same id.
	for range 3 {
		for _, p := range x.of("registry") {
			res, err := client.Post("http://"+p.http+"/v1/change", "application/json", bytes.NewReader(raw))
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

// inForce waits until every proxy goes by a revision, and gives how long
// after the change was asked for each did.
func (x *sizeRun) inForce(rev int64, from time.Time) ([]time.Duration, bool) {
	var stands []ProxyState
	_, ok := until(x.ctx, x.PhaseTimeout, 50*time.Millisecond, func() bool {
		stands = x.stands()
		n := 0
		for _, s := range stands {
			if s.Revision >= rev {
				n++
			}
		}
		return n == x.Size.Proxies
	})
	var out []time.Duration
	for _, s := range stands {
		if s.Revision >= rev {
			out = append(out, time.Duration(s.ConfigurationChangedAt-from.UnixNano()))
		}
	}
	return out, ok
}

// count tells how many proxies are ready.
func (x *sizeRun) count() int {
	n := 0
	for _, s := range x.stands() {
		if s.Ready {
			n++
		}
	}
	return n
}
