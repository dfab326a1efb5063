package checker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// TestRequestsByOldConfiguration_JudgesBySendTime checks that an execution is compared with the
// configuration in force when its bytes left the proxy, not when a frozen target read them.
func TestRequestsByOldConfiguration_JudgesBySendTime(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }
	for name, c := range map[string]struct {
		sent, ran float64
		service   ids.Name
		judged    int
		want      int
	}{
		"sent before the change, executed at once":      {9, 9, "old", 1, 0},
		"sent before the change, executed long after":   {9, 20, "old", 1, 0},
		"sent within 3 s after it, executed long after": {12.9, 20, "old", 1, 0},
		"sent over 3 s after it, executed at once":      {13.1, 13.1, "old", 1, 1},
		"sent over 3 s after it, executed long after":   {13.1, 20, "old", 1, 1},
		"sent by the change before it existed":          {9, 20, "new", 1, 1},
		"sent by the change":                            {13.1, 20, "new", 1, 0},
		"send time unknown, executed over 3 s after it": {0, 13.1, "old", 1, 1},
		"sent before any change was in force":           {2, 20, "old", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var checker Checker
			for n, service := range []string{"old", "new"} {
				sentAt := at(float64(10 * n))
				id := checker.ChangeSent([]byte(`{"id":"to-`+service+`","changes":[{"kind":"route","name":"way","put":{"service":"`+service+`","repeatable":true}}]}`), sentAt)
				checker.ChangeAccepted(id, uint64(n+1), sentAt)
			}
			execution := Execution{At: at(c.ran), Service: c.service, Route: "way"}
			if c.sent != 0 {
				execution.Sent = at(c.sent)
			}
			checker.RequestExecuted(execution)
			got := checker.requestsByOldConfiguration()
			is.Equal(got.Judged, c.judged)
			is.Equal(got.Violations, c.want)
		})
	}
}
