package testbed

import (
	"context"
	"net/http"
	"time"

	"dunlinwell/internal/base/errs"
)

// Ready tells whether a process takes work.
func (p *Process) Ready(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+p.HTTP+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until every running process is ready, or the time is over.
func (f *Fleet) AwaitReady(ctx context.Context, d time.Duration) (time.Duration, error) {
	from := time.Now()
	for {
		waits := ""
		for _, p := range f.Processes {
			if !p.Stopped && !p.Ready(ctx) {
				waits = p.Name
				break
			}
		}
		if waits == "" {
			return time.Since(from), nil
		}
		if time.Since(from) > d || ctx.Err() != nil {
			return time.Since(from), errs.New("await fleet", waits, "not ready within %s", d)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Find finds a process by name.
func (f *Fleet) Find(name string) *Process {
	for _, p := range f.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}
