package daemon

import (
	"context"
	"sync/atomic"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/storage"
	"dunlinwell/internal/transport/process"
)

// RunStore runs a store until the context ends. A folder whose disk was replaced
// is set aside, and the store joins once more as blank.
func RunStore(ctx context.Context, options StoreOptions) error {
	for {
		var replaced atomic.Bool
		err := runStore(ctx, options, &replaced)
		if err != nil || !replaced.Load() || ctx.Err() != nil {
			return err
		}
		kept, err := storage.SetAside(options.DataDir, "replaced")
		if err != nil {
			return err
		}
		process.NewLog(options.LogLevel, options.Name).Event(event.LevelError, "replaced database set aside, joining as blank", "kept", kept)
	}
}
