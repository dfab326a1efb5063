package process

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
)

// TestLog_Enabled shows that a level is enabled if it is at least the log's own.
func TestLog_Enabled(t *testing.T) {
	is := is.New(t)
	info := NewLog("info", "c1")
	is.True(!info.Enabled(event.LevelDebug))
	is.True(info.Enabled(event.LevelInfo))
	is.True(info.Enabled(event.LevelError))
	is.True(NewLog("debug", "c1").Enabled(event.LevelDebug))
}
