package testbed

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A daemon exits on SIGTERM without SIGKILL, under load, with slow requests in flight and
// idle connections open. No acknowledged change or request is lost, and no executed request
// is answered as declined.
func TestDaemons_StopOnSIGTERMUnderLoad(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tb := startSmallFleet(t)
	// Some targets take a large part of the time in which a proxy must exit.
	for i, target := range tb.Targets {
		if i%3 == 0 {
			target.ServiceTime = 1500 * time.Millisecond
		}
	}
	// Connections that stay open and idle.
	var idleTransports []*http.Transport
	for _, p := range tb.snapshot() {
		transport := &http.Transport{}
		res, err := (&http.Client{Transport: transport}).Get("http://" + p.HTTP + "/healthz")
		is.NoErr(err)
		_ = res.Body.Close()
		idleTransports = append(idleTransports, transport)
	}
	exitCodes := map[string]int{}
	tb.RunLoad(ctx, 30*time.Second, func(load context.Context) {
		for _, name := range []string{"proxy-1", "registry-1", "store-1", "proxy-2", "registry-2", "store-2"} {
			p := tb.Find(name)
			tb.MarkImpaired(p, time.Now().Add(time.Minute))
			tb.Stop(p)
			exitCodes[name] = p.cmd.ProcessState.ExitCode()
			is.NoErr(tb.Fleet.StartProcess(p))
			_, err := tb.AwaitReady(ctx, time.Minute)
			is.NoErr(err)
		}
	})
	for _, transport := range idleTransports {
		transport.CloseIdleConnections()
	}
	is.Equal(len(exitCodes), 6)
	for name, code := range exitCodes {
		if code != 0 {
			t.Errorf("%s: exit code %v, want 0; it may have been killed by SIGKILL", name, code)
		}
	}
	is.Equal(tb.Report(time.Time{}), 0) // violations
}
