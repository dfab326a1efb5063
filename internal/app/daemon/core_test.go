package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/state/configuration"
)

// testCore runs three stores and a registry in this process, with real connections and disks.
type testCore struct {
	// registryHTTP is the registry's HTTP address, allHTTP the addresses of all daemons.
	registryHTTP string
	allHTTP      []string
}

// freeAddress returns an address with an unused port.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startCore starts a core, which is stopped at the end of the test.
func startCore(t testing.TB) *testCore {
	t.Helper()
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 4)
	c := &testCore{}
	var seeds []string
	for range 3 {
		seeds = append(seeds, freeAddress(t))
	}
	common := func(name, address string) settings.Common {
		c.registryHTTP = freeAddress(t)
		c.allHTTP = append(c.allHTTP, c.registryHTTP)
		return settings.Common{Name: name, Zone: "cell", LogLevel: "error", Address: address, HTTPAddress: c.registryHTTP, Seeds: seeds}
	}
	for i, at := range seeds {
		o := StoreOptions{Common: common(fmt.Sprint("store-", i+1), at), DataDir: t.TempDir(), Replicas: 3, Bootstrap: true}
		go func() { ended <- RunStore(ctx, o) }()
	}
	o := RegistryOptions{Common: common("registry-1", freeAddress(t)), PlanInterval: 30 * time.Second, ResolutionLifetime: 2 * time.Second}
	go func() { ended <- RunRegistry(ctx, o) }()
	t.Cleanup(func() {
		end()
		for range 4 {
			if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	})
	return c
}

// merge sends a merge and returns the status, or 0 without an answer, and the response time.
func (c *testCore) merge(t testing.TB, m configuration.Merge) (status int, responseTime time.Duration) {
	t.Helper()
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	response, err := http.Post("http://"+c.registryHTTP+"/v1/merge", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, time.Since(start)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, time.Since(start)
}

// waitBootstrapped waits until a first change is accepted.
func (c *testCore) waitBootstrapped(t testing.TB) {
	t.Helper()
	body := json.RawMessage(`{"tier":3}`)
	first := configuration.VersionedItem{Kind: "service", Name: "wader", Version: 1, Body: body, Source: body}
	for range 300 {
		if status, _ := c.merge(t, configuration.Merge{Items: []configuration.VersionedItem{first}}); status == 200 {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	t.Fatal("the stores didn't bootstrap within 30 s")
}

// route returns the i-th route with a version.
func route(i, version int) configuration.VersionedItem {
	body := fmt.Sprintf(`{"prefix":"/r%05d","service":"wader","repeatable":true,"host":"h%d.example"}`, i, i)
	return configuration.VersionedItem{
		Kind: "route", Name: ids.Name(fmt.Sprintf("r%05d", i)), Version: ids.Revision(version),
		Body: json.RawMessage(body), Source: json.RawMessage(body),
	}
}

// A merge of 15,000 routes in one call must be accepted within the call's timeout.
func TestCore_Accepts15000RoutesInOneCall(t *testing.T) {
	is := is.New(t)
	c := startCore(t)
	c.waitBootstrapped(t)
	var m configuration.Merge
	for i := range 15000 {
		m.Items = append(m.Items, route(i, 1))
	}
	status, responseTime := c.merge(t, m)
	t.Logf("15,000 routes: status %d after %s", status, responseTime)
	is.Equal(status, 200)
}
