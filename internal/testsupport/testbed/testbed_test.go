package testbed

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startSmallFleet starts a fleet with the plan "small". At the end of the test it stops the
// fleet and logs its output.
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

// A fleet of real processes bootstraps, can be configured through any daemon, and keeps all
// guarantees under load while one daemon of each role is killed and a store is replaced.
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
		is.NoErr(err) // all daemons are ready, including the replacement
	})
	is.Equal(tb.Report(time.Time{}), 0) // violations
	is.True(tb.Checker.CountByClass(time.Time{})["answered"] > 0)
	// A change accepted before the faults can be read back through every daemon.
	for _, p := range tb.Processes {
		if !p.Stopped {
			is.True(strings.Contains(call(t, "GET", p.HTTP, "/v1/services/papers", "").body, `"body":{"tier":4}`))
		}
	}
}
