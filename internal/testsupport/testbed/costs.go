package testbed

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ResourceUsage is what each role's processes have spent so far, by the pages of
// metrics; a process that was restarted begins anew, so measure without faults.
type ResourceUsage map[string]map[string]float64

var usageMetrics = map[string]string{
	"process_cpu_seconds_total":          "CPU s",
	"dunlinwell_disk_syncs_total":        "syncs",
	"dunlinwell_disk_records_total":      "records",
	"dunlinwell_lock_wait_seconds_total": "lock wait s",
	"go_memstats_mallocs_total":          "allocations",
}

// MeasureUsage reads every running process's page.
func (tb *Testbed) MeasureUsage() ResourceUsage {
	out := ResourceUsage{}
	client := http.Client{Timeout: 2 * time.Second}
	for _, p := range tb.Processes {
		if out[p.Role] == nil {
			out[p.Role] = map[string]float64{}
		}
		for name, v := range scrapeMetrics(&client, p) {
			if usageMetrics[name] != "" {
				out[p.Role][usageMetrics[name]] += v
			}
		}
	}
	return out
}

// scrapeMetrics reads a process's page of metrics; none if it doesn't answer.
func scrapeMetrics(client *http.Client, p *Process) map[string]float64 {
	out := map[string]float64{}
	res, err := client.Get("http://" + p.HTTP + "/metrics")
	if err != nil {
		return out
	}
	defer res.Body.Close()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}

// PrintUsage prints what a thousand answered requests cost since before.
func (tb *Testbed) PrintUsage(before ResourceUsage) {
	now, n := tb.MeasureUsage(), float64(tb.Checker.CountByClass(time.Time{})["answered"])/1000
	if n == 0 {
		return
	}
	for _, role := range []string{"proxy", "registry", "store"} {
		d := func(what string) float64 { return now[role][what] - before[role][what] }
		fmt.Fprintf(tb.Out, "for 1000 answers %-9s CPU %.3f s, %.0f allocations, lock wait %.4f s", role, d("CPU s")/n, d("allocations")/n, d("lock wait s")/n)
		if d("syncs") > 0 {
			fmt.Fprintf(tb.Out, ", %.0f syncs, %.2f records a sync", d("syncs")/n, d("records")/d("syncs"))
		}
		fmt.Fprintln(tb.Out)
	}
}
