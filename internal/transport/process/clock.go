package process

import (
	"time"

	"dunlinwell/internal/base/ids"
)

var processStart = time.Now()

// Now gives the process's monotonic time. It starts at one, as zero stands for
// "never" in the machines.
func Now() ids.Time { return ids.Time(time.Since(processStart)) + 1 }
