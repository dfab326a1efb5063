package testbed

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// badCommands lists invalid command lines, with the exit code that each yields through any
// daemon, and a string that its output must contain.
var badCommands = []struct {
	args           string
	exitCode       int
	outputContains string
}{
	{"", 2, "expected"},
	{"shop list", 2, "shop"},
	{"service put", 2, "missing"},
	{"service put odd", 2, "body"},
	{"service put odd --body {} --file x", 2, "can't be used together"},
	{"service put odd --file /nowhere/at/all", 2, "no such file"},
	{"service put odd --body {}{}", 3, "not valid JSON"},
	{"service put odd --body {\"tier\":10}", 3, "tier"},
	{"service put odd --body {\"tier\":1,\"tier\":2}", 3, "stands twice"},
	{"service put odd --body {} --version many", 2, "version"},
	{"service put odd --body {} --version 77", 4, "stale"},
	{"service put catalog --body {} --version 0", 4, "stale"},
	{"service put odd --body {} --change-id ä", 3, "id"},
	{"service put Odd --body {}", 3, "name"},
	{"service get odd", 3, "no service"},
	{"service get catalog?x", 3, "no service"},
	{"service remove catalog?x", 3, ""},
	{"service remove catalog#x", 3, ""},
	{"service remove ../policy", 3, ""},
	{"service remove catalog", 3, "route"},
	{"route put odd --body {\"prefix\":\"/odd\",\"service\":\"none\",\"repeatable\":true}", 3, "none"},
	{"cell empty nowhere", 3, "missing"},
	{"cell put odd --body {\"target\":100,\"maximum\":90}", 3, "maximum"},
	{"where --cell cell-a1 --route none", 3, "none"},
	{"where --cell cell-a1", 2, "route"},
	{"change /nowhere/at/all", 2, "no such file"},
	{"apply -f /nowhere/at/all", 2, "no such file"},
	{"runbook run nothing", 2, "nothing"},
	{"runbook check /nowhere/at/all", 2, "no such file"},
}

// checkBadCommands runs badCommands through one daemon of each role, and checks that the
// configuration doesn't change.
func checkBadCommands(t *testing.T, tb *Testbed) {
	is := is.New(t)
	before := call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body
	for _, role := range []string{"proxy", "registry", "store"} {
		for _, c := range badCommands {
			cli := exec.Command(filepath.Join(tb.Bin, "dunlinwell"), append([]string{"--at", tb.ProcessesOf(role)[0].HTTP}, strings.Fields(c.args)...)...)
			output, _ := cli.CombinedOutput()
			if n := cli.ProcessState.ExitCode(); n != c.exitCode || !strings.Contains(string(output), c.outputContains) {
				t.Errorf("%q through the %s: got exit code %d, want %d with %q: %.200s", c.args, role, n, c.exitCode, c.outputContains, output)
			}
		}
	}
	// Nothing listens at the address: a read fails as unreachable, and the outcome of a
	// change is unknown.
	for args, exitCode := range map[string]int{"service list": 5, "service remove odd": 6} {
		cli := exec.Command(filepath.Join(tb.Bin, "dunlinwell"), append([]string{"--at", "127.0.0.1:1"}, strings.Fields(args)...)...)
		_ = cli.Run()
		is.Equal(cli.ProcessState.ExitCode(), exitCode)
	}
	is.Equal(call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body, before)
}
