package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// livenessProbes are the platform's: each proxy is asked every second whether it lives.
type livenessProbes struct {
	mu               sync.Mutex
	sent, unanswered int
	slow, excluded   int
}

const probeTimeout = time.Second

// run probes every proxy that nothing is wrong with, until the context ends.
func (p *livenessProbes) run(ctx context.Context, tb *Testbed) {
	client := &http.Client{Timeout: probeTimeout}
	var all sync.WaitGroup
	for sleepContext(ctx, time.Second) {
		for _, process := range tb.ProcessesOf("proxy") {
			if process.Stopped || tb.IsImpaired(process.HTTP, time.Now()) {
				p.mu.Lock()
				p.excluded++
				p.mu.Unlock()
				continue
			}
			all.Go(func() {
				from := time.Now()
				res, err := client.Get("http://" + process.HTTP + "/healthz")
				p.mu.Lock()
				defer p.mu.Unlock()
				p.sent++
				if err != nil {
					// A fault may have begun meanwhile.
					if !tb.IsImpaired(process.HTTP, time.Now()) {
						p.unanswered++
					}
					return
				}
				res.Body.Close()
				if time.Since(from) > probeTimeout/4 {
					p.slow++
				}
			})
		}
	}
	all.Wait()
}

// print tells what came of them. It is a report, not a promise: how soon an
// answer comes is this machine's matter as well.
func (p *livenessProbes) print(tb *Testbed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(tb.Out, "probes of sound proxies: %d sent, %d without an answer within %s, %d slower than %s; %d left out for a fault\n",
		p.sent, p.unanswered, probeTimeout, p.slow, probeTimeout/4, p.excluded)
}
