package testbed

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Heartbeat and identity document have exactly these bytes.
func TestTarget_Bodies(t *testing.T) {
	is := is.New(t)
	target := &Target{Instance: "catalog-1", Service: "catalog", Zone: "cell-a1", Address: "127.20.4.1:8000", Capacity: 16, incarnation: 7}
	target.warmUpStart = time.Now().Add(-warmUpTime)
	is.Equal(string(target.nextHeartbeat()), `{"address":"127.20.4.1:8000","capacity":16,"cell":"cell-a1","incarnation":7,"instance":"catalog-1",`+
		`"interval_ms":1000,"leaving":false,"occupancy":0,"sequence":1,"service":"catalog","warmth":1}`)
	response := httptest.NewRecorder()
	target.serve(response, httptest.NewRequest(http.MethodGet, identityPath, nil))
	is.Equal(response.Body.String(), `{"incarnation":7,"instance":"catalog-1","leaving":false,"service":"catalog"}`)
}

// A client detects a response to another request.
func TestCheckAnswer(t *testing.T) {
	for name, c := range map[string]struct{ body, problem string }{
		"own request":           {`{"uri":"/orders/item?token=t1","mark":"k1"}`, ""},
		"other URI":             {`{"uri":"/orders/item?token=t2","mark":"k1"}`, `response to /orders/item?token=t2 with idempotency key "k1"`},
		"other idempotency key": {`{"uri":"/orders/item?token=t1","mark":"k2"}`, `response to /orders/item?token=t1 with idempotency key "k2"`},
		"not JSON":              {`busy`, "body is not a target's response: invalid character 'b' looking for beginning of value"},
		"malformed URI":         {`{"uri":"%zz","mark":"k1"}`, `response to %zz with idempotency key "k1"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(checkAnswer([]byte(c.body), "/orders/item?token=t1", "k1"), c.problem)
		})
	}
}

// A request id consists of the proxy's name and two more parts.
func TestProxyOfRequestID(t *testing.T) {
	is := is.New(t)
	is.Equal(proxyOfRequestID("proxy-1-3f2a-17"), "proxy-1")
	is.Equal(proxyOfRequestID(""), "")
}

// The name of a core machine, as used in scripts, selects its store and its registry.
func TestFleet_MachineProcesses(t *testing.T) {
	is := is.New(t)
	f := &Fleet{}
	for _, name := range []string{"store-1", "store-2", "registry-1", "registry-2", "proxy-1"} {
		f.Processes = append(f.Processes, &Process{Name: name})
	}
	names := func(processes []*Process) (out []string) {
		for _, p := range processes {
			out = append(out, p.Name)
		}
		return out
	}
	is.Equal(names(f.MachineProcesses("core-2")), []string{"store-2", "registry-2"})
	is.Equal(names(f.MachineProcesses("proxy-1")), []string{"proxy-1"})
	is.Equal(len(f.MachineProcesses("core-3")), 0)
}
