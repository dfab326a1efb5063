package scaletest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// changeAttempts is how often a change is sent to all registries: one whose
// outcome is indeterminate is sent again under its id, and takes effect once.
const changeAttempts = 3

// revisionPollInterval bounds how exactly it is known that all proxies have applied a
// change; the lag itself comes from the proxies' own clocks, of this machine.
const revisionPollInterval = 50 * time.Millisecond

// changeResponse is the body of a successful response to a change.
type changeResponse struct {
	Revision int64 `json:"revision"`
}

// countReadyCoreDaemons counts the registries and voting stores that are ready. The stores
// beyond the voters are learners and not counted.
func (f *fleet) countReadyCoreDaemons() int {
	stores := f.running(storeRole)
	ready := 0
	for _, p := range append(stores[:min(voterCount, len(stores))], f.running(registryRole)...) {
		res, err := httpClient.Get("http://" + p.httpAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			ready++
		}
	}
	return ready
}

// isCoreReady tells whether all registries and voting stores are ready.
func (f *fleet) isCoreReady() bool { return f.countReadyCoreDaemons() == voterCount+f.Core }

// postChange sends a change to one registry after another until one answers. It
// returns the new revision.
func (f *fleet) postChange(change []byte) (int64, error) {
	var lastErr error
	for range changeAttempts {
		for _, p := range f.running(registryRole) {
			status, body, err := post(p, change)
			if err != nil {
				lastErr = err
				continue
			}
			if status == http.StatusOK {
				var r changeResponse
				err := json.Unmarshal(body, &r)
				return r.Revision, err
			}
			lastErr = fmt.Errorf("status %d: %.200s", status, body)
			// The change itself is wrong, and would be for every registry.
			if status < http.StatusInternalServerError {
				return 0, lastErr
			}
		}
	}
	return 0, lastErr
}

// post sends a change to one registry. A body cut short is returned as far as it came.
func post(p *daemonProcess, change []byte) (status int, body []byte, err error) {
	res, err := httpClient.Post("http://"+p.httpAddress+"/v1/change", "application/json", bytes.NewReader(change))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, _ = io.ReadAll(res.Body)
	return res.StatusCode, body, nil
}

// awaitRevision waits until every proxy has applied a revision. It returns how
// long after start each proxy that has it applied it, and whether all have.
func (r *sizeRun) awaitRevision(revision int64, start time.Time) ([]time.Duration, bool) {
	var states []ProxyState
	_, ok := waitUntil(r.ctx, r.PhaseTimeout, revisionPollInterval, func() bool {
		states = r.proxyStates()
		applied := 0
		for _, s := range states {
			if s.Revision >= revision {
				applied++
			}
		}
		return applied == r.Size.Proxies
	})
	var lags []time.Duration
	for _, s := range states {
		if s.Revision >= revision {
			lags = append(lags, time.Duration(s.ConfigurationChangedAt-start.UnixNano()))
		}
	}
	return lags, ok
}

// countReadyProxies counts the proxies that are ready.
func (f *fleet) countReadyProxies() int {
	ready := 0
	for _, s := range f.proxyStates() {
		if s.Ready {
			ready++
		}
	}
	return ready
}

// allProxiesReady tells whether every proxy is ready.
func (f *fleet) allProxiesReady() bool { return f.countReadyProxies() == f.Size.Proxies }

// proxyStates returns the states of the proxies of each group that answers.
func (f *fleet) proxyStates() []ProxyState {
	var out []ProxyState
	for _, p := range f.running(proxyRole) {
		res, err := httpClient.Get("http://" + p.httpAddress + "/state")
		if err != nil {
			continue
		}
		var states []ProxyState
		if json.NewDecoder(res.Body).Decode(&states) == nil {
			out = append(out, states...)
		}
		_ = res.Body.Close()
	}
	return out
}
