package daemon

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlinwell/internal/state/configuration"
)

// BenchmarkSequentialChanges makes 300 sequential changes to configurations of three sizes, with
// real connections and disks. It reports response times, and bytes and CPU time per change
// of three stores and a registry together. Run it with -benchtime 1x.
func BenchmarkSequentialChanges(b *testing.B) {
	for _, size := range []int{1000, 5000, 15000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := startCore(b)
			c.waitBootstrapped(b)
			var m configuration.Merge
			for i := range size {
				m.Items = append(m.Items, route(i, 1))
			}
			if status, _ := c.merge(b, m); status != 200 {
				b.Fatalf("status %d", status)
			}
			for b.Loop() {
				makeSequentialChanges(b, c, size)
			}
		})
	}
}

// makeSequentialChanges makes sequential changes and reports their cost.
func makeSequentialChanges(b *testing.B, c *testCore, size int) {
	b.Helper()
	const changes = 300
	var times []time.Duration
	before, wire, disk := processorTime(b), c.changeBytesSent(), c.metricSum("disk_bytes_total")
	for i := range changes {
		status, responseTime := c.merge(b, configuration.Merge{Items: []configuration.VersionedItem{route(i%size, 2+i)}})
		if status != 200 {
			b.Fatalf("change %d: status %d after %s", i, status, responseTime)
		}
		times = append(times, responseTime)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[changes/2].Milliseconds()), "ms_median")
	b.ReportMetric(float64(times[changes-1].Milliseconds()), "ms_worst")
	b.ReportMetric((c.changeBytesSent()-wire)/changes, "wire_B/change")
	b.ReportMetric((c.metricSum("disk_bytes_total")-disk)/changes, "synced_B/change")
	b.ReportMetric(float64((processorTime(b)-before).Milliseconds())/changes, "cpu_ms/change")
}

// changeBytesSent returns the number of bytes sent in messages that changes cause. It
// excludes reads, which are periodic. The kinds are prefixes, so that messages with deltas
// are included.
func (c *testCore) changeBytesSent() float64 {
	const sent = `way="sent"`
	return c.metricSum("wire_bytes_total", `kind="consensus.Accept`, sent) + c.metricSum("wire_bytes_total", `kind="consensus.Chosen`, sent)
}

// metricSum returns the sum of a metric over all daemons and all lines that contain every part.
func (c *testCore) metricSum(name string, parts ...string) float64 {
	sum := 0.0
	for _, address := range c.allHTTP {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			line := lines.Text()
			matches := strings.HasPrefix(line, "dunlinwell_"+name)
			for _, p := range parts {
				matches = matches && strings.Contains(line, p)
			}
			if v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); matches && err == nil {
				sum += v
			}
		}
		_ = response.Body.Close()
	}
	return sum
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
