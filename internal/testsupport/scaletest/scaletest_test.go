package scaletest

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is the size of a fleet that starts within seconds.
var small = Size{Proxies: 6, Targets: 8, Services: 2, Routes: 5, Tenants: 3, Zones: 3, Regions: 2, Core: 3}

// A small fleet of real processes completes every phase, the usage of each role is measured, and the
// saved report can be decoded.
func TestRunSizes_SmallFleetCompletesEveryPhase(t *testing.T) {
	is := is.New(t)
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "dunlinwell/cmd/registry", "dunlinwell/cmd/store", "dunlinwell/cmd/testbed").CombinedOutput()
	if err != nil {
		t.Fatal(err, string(out))
	}
	options := Options{
		Sizes: []Size{small}, Bin: bin, ProxyGroupBinary: filepath.Join(bin, "testbed"), Dir: filepath.Join(t.TempDir(), "fleet"), Thrifty: true, ProxiesPerGroup: 4,
		SteadyPhaseDuration: 2 * time.Second, PhaseTimeout: 30 * time.Second, HeartbeatInterval: 500 * time.Millisecond, UsageRows: 3, Changes: 2, LoopbackBlock: 250 + os.Getpid()%4, Progress: func(s string) { t.Log(s) },
	}
	runs, err := RunSizes(t.Context(), options)
	is.NoErr(err)
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Stopped, "")
	is.Equal(len(runs[0].Phases), 7)
	for _, phase := range runs[0].Phases {
		is.True(phase.Completed)
	}
	steady, ok := runs[0].CompletedPhase("steady")
	is.True(ok)
	for _, role := range roles {
		usage, ok := steady.UsageOf(role)
		is.True(ok)
		is.True(usage.CPUPercent > 0)
		is.True(usage.MemoryMB > 0)
		is.True(usage.SentBytesPerSecond > 0)
		is.True(usage.ReceivedBytesPerSecond > 0)
		is.True(len(usage.Kinds) > 0)
	}
	proxyUsage, _ := steady.UsageOf("proxy")
	is.Equal(proxyUsage.Daemons, small.Proxies)
	restarted, _ := runs[0].CompletedPhase("proxies-back")
	is.True(restarted.Lag.Max >= restarted.Lag.P50)
	report := Report{Runs: runs, Slopes: FitSlopes(runs)}
	dir := t.TempDir()
	is.NoErr(report.Save(dir))
	raw, err := os.ReadFile(filepath.Join(dir, "hollow.json"))
	is.NoErr(err)
	var decoded Report
	is.NoErr(json.Unmarshal(raw, &decoded))
	is.Equal(decoded.Runs[0].Size, small)
	var table strings.Builder
	is.NoErr(report.WriteTables(&table))
	is.True(strings.Contains(table.String(), "distribution.Ack"))
}

// A size that exceeds the machine's memory is rejected before any process is started. The error
// includes the required bytes.
func TestRunSizes_RejectsOversizedBeforeAnythingStarts(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "fleet")
	s := small
	s.Proxies, s.Targets, s.Tenants = 20000, 1000000, 10000000
	_, err := RunSizes(context.Background(), Options{Sizes: []Size{small, s}, Dir: dir, ProxiesPerGroup: 400, Progress: func(string) {}})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "bytes"))
	_, err = os.Stat(dir)
	is.True(os.IsNotExist(err))
}
