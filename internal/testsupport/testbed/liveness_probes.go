package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval and probeTimeout are those of the platform's liveness probes.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// slowProbe is counted as slow, though the platform would accept it.
	slowProbe = probeTimeout / 4
)

// livenessProbes ask every proxy whether it is alive, as the platform does, and
// count the results.
type livenessProbes struct {
	// mu guards the counts.
	mu               sync.Mutex
	sent, unanswered int
	// slow took longer than slowProbe; excluded weren't sent because of a fault.
	slow, excluded int
}

// run probes every proxy that no fault impairs, until the context ends.
func (p *livenessProbes) run(ctx context.Context, tb *Testbed) {
	client := &http.Client{Timeout: probeTimeout}
	var pending sync.WaitGroup
	for sleepContext(ctx, probeInterval) {
		for _, process := range tb.ProcessesOf(proxyRole) {
			if process.Stopped || tb.IsImpaired(process.HTTP, time.Now()) {
				p.mu.Lock()
				p.excluded++
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
		// A fault may have begun since it was sent.
		if !tb.IsImpaired(process.HTTP, time.Now()) {
			p.unanswered++
		}
		return
	}
	_ = res.Body.Close()
	if time.Since(start) > slowProbe {
		p.slow++
	}
}

// print prints the counts. They are no violations: how soon an answer comes
// depends on the machine as well.
func (p *livenessProbes) print(tb *Testbed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(tb.Out, "liveness probes of proxies without a fault: %d sent, %d unanswered within %s, %d slower than %s; %d left out for a fault\n",
		p.sent, p.unanswered, probeTimeout, p.slow, slowProbe, p.excluded)
}
