package testbed

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Costs is what each role's processes have spent so far, by the pages of
// metrics; a process that was restarted begins anew, so measure without faults.
type Costs map[string]map[string]float64

var spent = map[string]string{
	"process_cpu_seconds_total":          "CPU s",
	"dunlinwell_disk_syncs_total":        "syncs",
	"dunlinwell_disk_records_total":      "records",
	"dunlinwell_lock_wait_seconds_total": "lock wait s",
	"go_memstats_mallocs_total":          "allocations",
}

// Costs reads every running process's page.
func (s *Testbed) Costs() Costs {
	out := Costs{}
	client := http.Client{Timeout: 2 * time.Second}
	for _, p := range s.Procs {
		if out[p.Role] == nil {
			out[p.Role] = map[string]float64{}
		}
		for name, v := range figures(&client, p) {
			if spent[name] != "" {
				out[p.Role][spent[name]] += v
			}
		}
	}
	return out
}

// figures reads a process's page of metrics; none if it doesn't answer.
func figures(client *http.Client, p *Process) map[string]float64 {
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

// ShowCosts prints what a thousand answered requests cost since before.
func (s *Testbed) ShowCosts(before Costs) {
	now, n := s.Costs(), float64(s.Checker.CountByClass(time.Time{})["answered"])/1000
	if n == 0 {
		return
	}
	for _, role := range []string{"proxy", "registry", "store"} {
		d := func(what string) float64 { return now[role][what] - before[role][what] }
		fmt.Fprintf(s.Out, "for 1000 answers %-9s CPU %.3f s, %.0f allocations, lock wait %.4f s", role, d("CPU s")/n, d("allocations")/n, d("lock wait s")/n)
		if d("syncs") > 0 {
			fmt.Fprintf(s.Out, ", %.0f syncs, %.2f records a sync", d("syncs")/n, d("records")/d("syncs"))
		}
		fmt.Fprintln(s.Out)
	}
}
