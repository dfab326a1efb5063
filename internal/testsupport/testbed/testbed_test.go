package testbed

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startSmallFleet starts a fleet of the plan "small" that ends with the test, and
// logs what it printed.
func startSmallFleet(t *testing.T) *Testbed {
	t.Helper()
	var out bytes.Buffer
	tb, err := Start(t.Context(), Options{Plan: "small", Dir: t.TempDir(), Out: &out})
	if err != nil {
		t.Fatal(err, out.String())
	}
	t.Cleanup(func() {
		tb.Close()
		t.Log(out.String())
	})
	return tb
}

// A fleet of real processes is bootstrapped, configured through any daemon, and
// keeps all guarantees under load while one daemon of each role is killed and a
// store is replaced.
func TestFleetOfProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tb := startSmallFleet(t)
	checkControlAPI(t, tb)
	checkRejectedCalls(t, tb)
	checkBadRequests(t, tb)
	checkBadCommands(t, tb)
	tb.RunLoad(ctx, 6*time.Second, func(context.Context) {
		for _, name := range []string{"proxy-1", "registry-1", "store-2"} {
			p := tb.Find(name)
			tb.MarkImpaired(p, time.Now().Add(time.Minute))
			tb.Kill(p)
			is.NoErr(tb.Fleet.StartProcess(p))
		}
		_, err := tb.ReplaceStore(tb.Find("store-3"))
		is.NoErr(err)
		_, err = tb.AwaitReady(ctx, time.Minute)
		is.NoErr(err) // all ready again, with the replacement
	})
	is.Equal(tb.Report(time.Time{}), 0) // violations
	is.True(tb.Checker.CountByClass(time.Time{})["answered"] > 0)
	// What was accepted before the faults reads back through any daemon.
	for _, p := range tb.Processes {
		if !p.Stopped {
			is.True(strings.Contains(call(t, "GET", p.HTTP, "/v1/services/papers", "").body, `"body":{"tier":4}`))
		}
	}
}
