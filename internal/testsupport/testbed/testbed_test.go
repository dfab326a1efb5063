package testbed

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A fleet of real processes is bootstrapped, configured through any daemon, and
// keeps all guarantees under load while one daemon of each role is killed and a
// store is replaced.
func TestFleetOfProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var out bytes.Buffer
	tb, err := Start(ctx, Options{Plan: "small", Dir: t.TempDir(), Out: &out})
	is.NoErr(err)
	defer tb.Close()
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
	violations := tb.Report(time.Time{})
	t.Log(out.String())
	is.Equal(violations, 0)
	is.True(tb.Checker.CountByClass(time.Time{})["answered"] > 0)
	// What was accepted before the faults reads back through any daemon.
	for _, p := range tb.Processes {
		if !p.Stopped {
			is.True(strings.Contains(call(t, "GET", p.HTTP, "/v1/services/papers", "").body, `"body":{"tier":4}`))
		}
	}
}
