package testbed

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// scrapeTimeout bounds the read of one metrics page.
const scrapeTimeout = 2 * time.Second

// Metrics that make up ResourceUsage.
const (
	cpuSecondsMetric      = "process_cpu_seconds_total"
	diskSyncsMetric       = "dunlinwell_disk_syncs_total"
	diskRecordsMetric     = "dunlinwell_disk_records_total"
	lockWaitSecondsMetric = "dunlinwell_lock_wait_seconds_total"
	allocationsMetric     = "go_memstats_mallocs_total"
)

var usageMetrics = []string{cpuSecondsMetric, diskSyncsMetric, diskRecordsMetric, lockWaitSecondsMetric, allocationsMetric}

// ResourceUsage is the resource usage of all processes since their start, by role and
// metric. A restart resets a process's counters, so it is meaningful only for runs
// without restarts.
type ResourceUsage map[string]map[string]float64

// MeasureUsage reads the metrics of every process that responds.
func (tb *Testbed) MeasureUsage() ResourceUsage {
	usage := ResourceUsage{}
	client := http.Client{Timeout: scrapeTimeout}
	for _, p := range tb.Processes {
		if usage[p.Role] == nil {
			usage[p.Role] = map[string]float64{}
		}
		metrics := scrapeMetrics(&client, p)
		for _, name := range usageMetrics {
			usage[p.Role][name] += metrics[name]
		}
	}
	return usage
}

// scrapeMetrics reads a process's unlabeled metrics; none if it doesn't respond.
func scrapeMetrics(client *http.Client, p *Process) map[string]float64 {
	metrics := map[string]float64{}
	res, err := client.Get("http://" + p.HTTP + "/metrics")
	if err != nil {
		return metrics
	}
	defer func() { _ = res.Body.Close() }()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			metrics[name] = v
		}
	}
	return metrics
}

// PrintUsage prints each role's usage per thousand answered requests since an earlier
// measurement.
func (tb *Testbed) PrintUsage(before ResourceUsage) {
	now := tb.MeasureUsage()
	thousands := float64(tb.Checker.CountByClass(time.Time{})[classAnswered]) / 1000
	if thousands == 0 {
		return
	}
	for _, role := range []string{proxyRole, registryRole, storeRole} {
		used := func(metric string) float64 { return now[role][metric] - before[role][metric] }
		fmt.Fprintf(tb.Out, "per 1000 answers %-9s CPU %.3f s, %.0f allocations, lock wait %.4f s",
			role, used(cpuSecondsMetric)/thousands, used(allocationsMetric)/thousands, used(lockWaitSecondsMetric)/thousands)
		if syncs := used(diskSyncsMetric); syncs > 0 {
			fmt.Fprintf(tb.Out, ", %.0f syncs, %.2f records per sync", syncs/thousands, used(diskRecordsMetric)/syncs)
		}
		fmt.Fprintln(tb.Out)
	}
}
