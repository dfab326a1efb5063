package compat

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/controlplane/registry"
)

// TestMetrics_Registry checks that the names and labels of a registry's metrics are unchanged. It
// ignores the Go and process metrics, whose names the client library defines.
func TestMetrics_Registry(t *testing.T) {
	is := is.New(t)
	status := filledJSON(t, reflect.TypeFor[registry.Status]()).(*registry.Status)
	m := http.NewServeMux()
	daemon.HandleMetrics(m, func() []daemon.Metric {
		var out []daemon.Metric
		for _, f := range status.Metrics() {
			out = append(out, daemon.Metric{Name: f.Name, Labels: f.Labels, Values: f.Values, Value: f.Value})
		}
		return out
	})
	rw := httptest.NewRecorder()
	m.ServeHTTP(rw, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(rw.Code, http.StatusOK)
	got := map[string]string{}
	for line := range strings.Lines(rw.Body.String()) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && strings.HasPrefix(name, "dunlinwell_") && name != "dunlinwell_lock_wait_seconds_total" {
			got[name] = value
		}
	}
	checkGolden(t, "metrics.txt", got)
}
