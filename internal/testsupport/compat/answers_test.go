package compat

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/memorydisk"
	"dunlinwell/platform"
)

// newFakeBackedServer returns an API server backed by a fake registry that holds the sample
// configuration.
func newFakeBackedServer(t *testing.T) *api.Server {
	t.Helper()
	values, _ := writeSample(t, memorydisk.Disk{})
	document, err := configuration.Decode(values[configuration.Key])
	if err != nil {
		t.Fatal(err)
	}
	status := *filledJSON(t, reflect.TypeFor[registry.Status]()).(*registry.Status)
	server := &api.Server{}
	server.Put = func(ev any) {
		respond := func(id uint64, body any) {
			go server.HandleResponse(registry.Response{ID: id, Status: 200, Body: body})
		}
		switch c := ev.(type) {
		case registry.ReadConfigurationCall:
			respond(c.ID, document)
		case registry.StatusCall:
			respond(c.ID, status)
		case registry.ResolveCall:
			respond(c.ID, registry.Resolution{Zone: c.Zone, Proxies: []ids.Address{"10.0.0.1:1"}, LifetimeMillis: 1500, Moved: true})
		case registry.HeartbeatCall:
			respond(c.ID, map[string]any{"known": true, "keeper": ids.Address("10.0.0.7:1"), "heard": c.Target})
		case registry.DeregisterCall:
			respond(c.ID, map[string]any{"known": true, "gone": c.Instance})
		case registry.ZoneEvacuationCall:
			respond(c.ID, configuration.ZoneEvacuationRequest{Zone: c.Zone, Region: c.Region, Evacuate: c.Evacuate})
		case registry.ChangeCall:
			respond(c.ID, string(c.Raw))
		case registry.MergeCall:
			respond(c.ID, c.Body)
		}
	}
	return server
}

// sendRequest sends a request to a handler, and returns the status, the headers that clients read
// and the body of the response.
func sendRequest(handler http.Handler, method, path, body string) string {
	rw := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Change-Id", "change-1")
	r.Header.Set("If-Match", `"3"`)
	handler.ServeHTTP(rw, r)
	headers := ""
	for _, name := range []string{"Content-Type", "ETag", "Retry-After"} {
		headers += fmt.Sprintf(" %s=%q", name, rw.Header().Get(name))
	}
	return fmt.Sprintf("%d%s %s", rw.Code, headers, strings.TrimSpace(rw.Body.String()))
}

// apiRequests holds requests to dunlinwell's own API, as method, path and body.
var apiRequests = [][3]string{
	{"GET", "/v1/policy", ""},
	{"GET", "/v1/revision", ""},
	{"GET", "/v1/services", ""},
	{"GET", "/v1/routes", ""},
	{"GET", "/v1/cells", ""},
	{"GET", "/v1/routes/orders", ""},
	{"GET", "/v1/routes/none", ""},
	{"GET", "/v1/nothing", ""},
	{"GET", "/v1/status", ""},
	{"GET", "/v1/where?cell=north&route=orders", ""},
	{"GET", "/v1/where", ""},
	{"PUT", "/v1/services/ledger", `{"tier":2}`},
	{"PUT", "/v1/services/ledger", `{`},
	{"DELETE", "/v1/services/ledger", ""},
	{"POST", "/v1/cells/north/empty", ""},
	{"POST", "/v1/cells/north/refill", ""},
	{"POST", "/v1/cells/north/shut", ""},
	{"POST", "/v1/cells/north/open", ""},
	{"POST", "/v1/cells/north/none", ""},
	{"POST", "/v1/change", `{"id":"one","changes":[{"kind":"service","name":"new","put":{}}]}`},
	{"POST", "/v1/change", `{"id":"one"}`},
	{"POST", "/v1/merge", `{"items":[{"kind":"service","name":"new","version":4,"body":{}}]}`},
	{"POST", "/v1/merge", `{"items":3}`},
	{"POST", "/v1/announce", `{"instance":"t-1","service":"ledger","cell":"north","address":"10.0.0.5:80","incarnation":2,"sequence":3,"warmth":0.5,"occupancy":4,"capacity":5,"interval_ms":1500,"leaving":true}`},
	{"POST", "/v1/announce", `{"instance":"t-1","colour":"red"}`},
	{"GET", "/healthz", ""},
	{"GET", "/readyz", ""},
}

// TestAPI_Responses checks that the responses of dunlinwell's own API are unchanged.
func TestAPI_Responses(t *testing.T) {
	m := http.NewServeMux()
	daemon.HandleHealth(m, func() (bool, any) { return false, map[string]bool{"ready": false} })
	m.Handle("/v1/", newFakeBackedServer(t).Handler())
	got := map[string]string{}
	for _, c := range apiRequests {
		got[strings.Join(c[:], " ")] = sendRequest(m, c[0], c[1], c[2])
	}
	checkGolden(t, "answers.txt", got)
}

// platformSettings holds settings of the platform with every field that the program reads.
const platformSettings = `{"node_name":"node-1","ip_address":"10.0.0.1","zone_name":"north","region_name":"isle","zones":{"north":"isle","south":"land"},
"listen_addresses":{"control_address":"10.0.0.1:8166","directory_address":"10.0.0.1:8165","front_address":"10.0.0.1:8161","readiness":"10.0.0.1:8167"},
"internal_ports":[7720,7735],"seed_nodes":["10.0.0.1:8166","10.0.0.2:8166","10.0.0.3:8166"],"data_directory":"/data","initial_start":true,
"limits":{"memory_mb":300},"tolerated_losses":{"machine_losses":2},"heartbeat_interval_s":1.5,
"rule_bounds":["grace_period_s=7","ttl_max_s=1.25","retry_budget_slack=50"]}`

// platformRequests holds requests to the platform's API, with the listener that receives them.
var platformRequests = []struct{ listener, method, path, body string }{
	{"10.0.0.1:8166", "PUT", "/instances/t-1", `{"service":"ledger","address":"10.0.0.5:80","zone_name":"north","slot_count":4,"call_sequence":9,"cold_remaining_s":1.5,"server_state":"draining"}`},
	{"10.0.0.1:8166", "PUT", "/instances/t-1", `{}`},
	{"10.0.0.1:8166", "DELETE", "/instances/t-1", ""},
	{"10.0.0.1:8166", "GET", "/configuration", ""},
	{"10.0.0.1:8166", "PATCH", "/configuration", `{"set_items":{"service_table":[{"name":"s","version_number":3,"connection_limit":9,"cold_start_s":2,"cold_per_s":4}],
"route_table":[{"name":"r","version_number":4,"timeout_s":2,"goal_latency_s":1,"kind":"non_idempotent","host":"h","path_prefix":"/p","priority_level":2,"max_attempts":3,"home_regions":["isle"],"weighted_split":[{"service":"s","weight":1}]}],
"limits":{"version_number":5,"max_header_bytes":9000,"max_body_bytes":7000,"header_timeout_s":3,"idle_timeout_s":4}},"removed_names":{"service_table":[{"name":"x","version_number":6}]}}`},
	{"10.0.0.1:8166", "PATCH", "/configuration", `{"set_items":{"service_table":[{}]}}`},
	{"10.0.0.1:8166", "POST", "/evacuation/south", ""},
	{"10.0.0.1:8166", "DELETE", "/evacuation/south", ""},
	{"10.0.0.1:8166", "POST", "/evacuation/none", ""},
	{"10.0.0.1:8165", "GET", "/resolve?zone_name=north&name=Orders", ""},
}

// TestPlatform checks that each daemon's options derived from the platform's settings, and the
// responses of the platform's API, are unchanged.
func TestPlatform(t *testing.T) {
	is := is.New(t)
	s, err := platform.ParseSettings([]byte(platformSettings))
	is.NoErr(err)
	p, err := s.Proxy()
	is.NoErr(err)
	r, err := s.Registry()
	is.NoErr(err)
	d, err := s.Store()
	is.NoErr(err)
	got := map[string]string{
		"settings proxy": strings.Join(fieldValues(&p), " "), "settings registry": strings.Join(fieldValues(&r), " "),
		"settings registry, not by flags": fmt.Sprint(r.Regions, r.AlwaysResolve, r.DeriveZoneLevels), "settings store": strings.Join(fieldValues(&d), " "),
	}
	handlers := r.ExtraHandlers(newFakeBackedServer(t))
	for _, c := range platformRequests {
		got[c.method+" "+c.path+" "+strings.ReplaceAll(c.body, "\n", "")] = sendRequest(handlers[c.listener], c.method, c.path, c.body)
	}
	checkGolden(t, "platform.txt", got)
}
