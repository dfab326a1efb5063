package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval and probeTimeout equal those of the platform's liveness probes.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// slowProbeThreshold is the response time beyond which a probe counts as slow.
	slowProbeThreshold = probeTimeout / 4
)

// livenessProbes sends liveness probes to every proxy, as the platform does, and counts
// the results.
type livenessProbes struct {
	// mu guards the counts.
	mu               sync.Mutex
	sent, unanswered int
	// slow counts responses later than slowProbeThreshold, skipped the probes that weren't
	// sent because of a fault.
	slow, skipped int
}

// run probes every proxy that isn't impaired by a fault, until the context is done.
func (p *livenessProbes) run(ctx context.Context, tb *Testbed) {
	client := &http.Client{Timeout: probeTimeout}
	var pending sync.WaitGroup
	for sleepContext(ctx, probeInterval) {
		for _, process := range tb.ProcessesOf(proxyRole) {
			if process.Stopped || tb.IsImpaired(process.HTTP, time.Now()) {
				p.mu.Lock()
				p.skipped++
				p.mu.Unlock()
				continue
			}
			pending.Go(func() { p.probe(client, tb, process) })
		}
	}
	pending.Wait()
}

func (p *livenessProbes) probe(client *http.Client, tb *Testbed, process *Process) {
	start := time.Now()
	res, err := client.Get("http://" + process.HTTP + "/healthz")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if err != nil {
		// A fault may have begun since the probe was sent.
		if !tb.IsImpaired(process.HTTP, time.Now()) {
			p.unanswered++
		}
		return
	}
	_ = res.Body.Close()
	if time.Since(start) > slowProbeThreshold {
		p.slow++
	}
}

// print prints the counts. Slow and unanswered probes aren't violations, as response
// times also depend on the machine's load.
func (p *livenessProbes) print(tb *Testbed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(tb.Out, "liveness probes of proxies without a fault: %d sent, %d unanswered within %s, %d slower than %s; %d skipped because of a fault\n",
		p.sent, p.unanswered, probeTimeout, p.slow, slowProbeThreshold, p.skipped)
}
