package runbook

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// demoBook has a step with a command, one with an observation and one with ForEach and an
// instruction.
const demoBook = `name: demo
needs: [cell]
steps:
  - name: empty it
    run: [cell, empty, "{cell}"]
    until: [{path: items.0.name, is: "{cell}"}]
  - name: wait
    look: [status]
    until: [{path: in_force, is: "true"}, {path: lag, under: 3}, {path: problems, none: true}]
    within: 5s
  - name: restart {item}
    each: daemons.#.id
    say: restart {item}
    look: [status]
    until: [{path: 'daemons.#(id=="{item}").start', changed: true}]
`

// runDemo runs demoBook. answer returns the answer to the n-th command.
func runDemo(t *testing.T, answer func(n int, words []string) string) (string, error) {
	t.Helper()
	b, err := Read("demo", []byte(demoBook))
	is.New(t).NoErr(err)
	var out bytes.Buffer
	n, now := 0, time.Unix(0, 0)
	err = b.Run(Options{
		Values: map[string]string{"cell": "north"}, Out: &out, Now: func() time.Time { return now }, Pause: func() { now = now.Add(time.Second) },
		Confirm: func(instruction string) bool { fmt.Fprintln(&out, "confirmed:", instruction); return true },
		Execute: func(words []string) ([]byte, error) {
			n++
			return []byte(answer(n, words)), nil
		},
	})
	return out.String(), err
}

// statusAnswer returns a status in which the configuration is in force from the fourth
// command on.
func statusAnswer(n, start int) string {
	return fmt.Sprintf(`{"in_force":%t,"lag":%d,"problems":[],"daemons":[{"id":"a","start":"%d"}]}`, n > 3, 5-n, start)
}

func TestRun_StepsWaitForChecks(t *testing.T) {
	is := is.New(t)
	emptied := 0
	out, err := runDemo(t, func(n int, words []string) string {
		if words[0] == "cell" {
			emptied++
			return `{"items":[{"name":"north"}]}`
		}
		return statusAnswer(n, n)
	})
	is.NoErr(err)
	is.Equal(emptied, 1) // a command is executed once; only observations are repeated
	is.True(strings.Contains(out, "confirmed: restart a"))
}

func TestRun_StopsAtTheFirstFailure(t *testing.T) {
	is := is.New(t)
	out, err := runDemo(t, func(_ int, words []string) string {
		if words[0] == "cell" {
			return `{"items":[{"name":"north"}]}`
		}
		return statusAnswer(1, 1)
	})
	is.True(err != nil && strings.Contains(err.Error(), `demo step 2 (wait)`))
	is.True(strings.Contains(err.Error(), `in_force is "false", but should be true`))
	is.True(!strings.Contains(out, "confirmed"))
}
