package testbed

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every daemon in turn gets the polite signal, and the hard one seconds later,
// under load, with slow requests under way and idle connections kept open: it ends
// by itself, and nothing that was said yes to is lost, nor anything that ran
// told "busy".
func TestDaemons_StopOnSIGTERMUnderLoad(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var out bytes.Buffer
	s, err := Start(ctx, Options{Plan: "small", Dir: t.TempDir(), Out: &out})
	is.NoErr(err)
	defer s.Close()
	// Some targets take far longer than the signals leave.
	for i, x := range s.Targets {
		if i%3 == 0 {
			x.Work = 1500 * time.Millisecond
		}
	}
	// Connections that say one thing, and then nothing.
	var idle []*http.Transport
	for _, p := range s.snapshot() {
		line := &http.Transport{}
		res, err := (&http.Client{Transport: line}).Get("http://" + p.HTTP + "/healthz")
		is.NoErr(err)
		res.Body.Close()
		idle = append(idle, line)
	}
	var by sync.Map
	s.RunLoad(ctx, 30*time.Second, func(load context.Context) {
		for _, name := range []string{"proxy-1", "registry-1", "store-1", "proxy-2", "registry-2", "store-2"} {
			p := s.Find(name)
			s.MarkImpaired(p, time.Now().Add(time.Minute))
			s.Stop(p)
			by.Store(name, p.cmd.ProcessState.ExitCode())
			is.NoErr(s.Fleet.StartProcess(p))
			_, err := s.AwaitReady(ctx, time.Minute)
			is.NoErr(err)
		}
	})
	for _, line := range idle {
		line.CloseIdleConnections()
	}
	n := 0
	by.Range(func(name, code any) bool {
		n++
		if code != 0 {
			t.Errorf("%s ended with %v, so it took the hard signal", name, code)
		}
		return true
	})
	is.Equal(n, 6)
	broken := s.Report(time.Time{})
	t.Log(out.String())
	is.Equal(broken, 0) // promises
}
