package process

import (
	"time"

	"dunlinwell/internal/base/ids"
)

var processStart = time.Now()

// Now returns the process's monotonic time. It starts at 1, as zero means "never" in the
// state machines.
func Now() ids.Time { return ids.Time(time.Since(processStart)) + 1 }
