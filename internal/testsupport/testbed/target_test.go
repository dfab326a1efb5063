package testbed

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target's heartbeat and identity document are these, byte for byte.
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

// A client finds an answer that isn't to its own request.
func TestCheckAnswer(t *testing.T) {
	for name, c := range map[string]struct{ body, problem string }{
		"its own":           {`{"uri":"/orders/item?token=t1","mark":"k1"}`, ""},
		"another's URI":     {`{"uri":"/orders/item?token=t2","mark":"k1"}`, `answer to /orders/item?token=t2 with idempotency key "k1"`},
		"another's key":     {`{"uri":"/orders/item?token=t1","mark":"k2"}`, `answer to /orders/item?token=t1 with idempotency key "k2"`},
		"not the target's":  {`busy`, "not the target's bytes: invalid character 'b' looking for beginning of value"},
		"no URI that reads": {`{"uri":"%zz","mark":"k1"}`, `answer to %zz with idempotency key "k1"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(checkAnswer([]byte(c.body), "/orders/item?token=t1", "k1"), c.problem)
		})
	}
}

// A request id is the name of its proxy with two parts after it.
func TestProxyOfRequestID(t *testing.T) {
	is := is.New(t)
	is.Equal(proxyOfRequestID("proxy-1-3f2a-17"), "proxy-1")
	is.Equal(proxyOfRequestID(""), "")
}

// The names of replaced core machines and their daemons are the same in scripts
// and in a fleet.
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
