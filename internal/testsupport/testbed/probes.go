package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// probes are the platform's: each proxy is asked every second whether it lives.
type probes struct {
	mu             sync.Mutex
	sent, unheard  int
	late, excluded int
}

const probeWithin = time.Second

// run probes every proxy that nothing is wrong with, until the context ends.
func (b *probes) run(ctx context.Context, s *Testbed) {
	client := &http.Client{Timeout: probeWithin}
	var all sync.WaitGroup
	for wait(ctx, time.Second) {
		for _, p := range s.Of("proxy") {
			if p.Lost || s.Excused(p.HTTP, time.Now()) {
				b.mu.Lock()
				b.excluded++
				b.mu.Unlock()
				continue
			}
			all.Go(func() {
				from := time.Now()
				res, err := client.Get("http://" + p.HTTP + "/healthz")
				b.mu.Lock()
				defer b.mu.Unlock()
				b.sent++
				if err != nil {
					// A fault may have begun meanwhile.
					if !s.Excused(p.HTTP, time.Now()) {
						b.unheard++
					}
					return
				}
				res.Body.Close()
				if time.Since(from) > probeWithin/4 {
					b.late++
				}
			})
		}
	}
	all.Wait()
}

// show tells what came of them. It is a report, not a promise: how soon an
// answer comes is this machine's matter as well.
func (b *probes) show(s *Testbed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(s.Out, "probes of sound proxies: %d sent, %d without an answer within %s, %d slower than %s; %d left out for a fault\n",
		b.sent, b.unheard, probeWithin, b.late, probeWithin/4, b.excluded)
}
