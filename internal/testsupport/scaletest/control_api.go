package scaletest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// changeAttempts is the maximum number of times that a change is sent to all registries. A change
// with an unknown outcome is retried under the same ID, so that it is applied once.
const changeAttempts = 3

// revisionPollInterval is the interval of the check that all proxies have applied a change. It
// doesn't limit the precision of the lag, which is computed from times that the proxies record.
const revisionPollInterval = 50 * time.Millisecond

// changeResponse is the body of a successful response to a change.
type changeResponse struct {
	Revision int64 `json:"revision"`
}

// countReadyCoreDaemons returns the number of ready registries and voting stores. It ignores the
// other stores, which are learners.
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

// isCoreReady reports whether all registries and voting stores are ready.
func (f *fleet) isCoreReady() bool { return f.countReadyCoreDaemons() == voterCount+f.Core }

// postChange sends a change to the registries in order until one of them accepts it, and returns
// the new revision.
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
			// Every registry would reject the change.
			if status < http.StatusInternalServerError {
				return 0, lastErr
			}
		}
	}
	return 0, lastErr
}

// post sends a change to one registry. If reading the response fails, body is truncated.
func post(p *daemonProcess, change []byte) (status int, body []byte, err error) {
	res, err := httpClient.Post("http://"+p.httpAddress+"/v1/change", "application/json", bytes.NewReader(change))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, _ = io.ReadAll(res.Body)
	return res.StatusCode, body, nil
}

// awaitRevision waits until every proxy has applied a revision. It returns the delay since start
// for each proxy that has applied it, and reports whether all proxies have.
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

// countReadyProxies returns the number of ready proxies.
func (f *fleet) countReadyProxies() int {
	ready := 0
	for _, s := range f.proxyStates() {
		if s.Ready {
			ready++
		}
	}
	return ready
}

// allProxiesReady reports whether every proxy is ready.
func (f *fleet) allProxiesReady() bool { return f.countReadyProxies() == f.Size.Proxies }

// proxyStates returns the states of all proxies whose group responds.
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
