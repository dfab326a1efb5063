package testbed

import (
	"context"
	"database/sql"
	"net/http"
	"path/filepath"
	"time"

	_ "github.com/mattn/go-sqlite3" // driver, to lock a store's database from outside
)

const (
	// storeDatabase is the file of a store's database in its data folder.
	storeDatabase = "stockroom.db"
	// stallDetectionTime is how long after the beginning of a stall a store must say
	// that it isn't ready.
	stallDetectionTime = 2500 * time.Millisecond
	// minDetectableStall: a shorter one may be over before the store finds it.
	minDetectableStall = 2 * time.Second
	// selfExitTimeout is how long a store that exits because of its disk may take.
	selfExitTimeout = 500 * time.Millisecond
)

// stallDisk keeps a store's disk from writing for a duration, by a lock on its
// database. The store must say that it isn't ready meanwhile, or exit; then it is
// started again.
func (tb *Testbed) stallDisk(ctx context.Context, p *Process, duration time.Duration) {
	lock, err := lockDatabase(ctx, filepath.Join(p.Data, storeDatabase))
	if err != nil {
		tb.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	// Closed only after the store's restart: the last connection that closes
	// would write the database's log back.
	defer lock.close()
	start := time.Now()
	sleepContext(ctx, min(duration, stallDetectionTime))
	res, err := http.Get("http://" + p.HTTP + "/readyz")
	if err == nil {
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && duration > minDetectableStall {
			tb.Checker.Violation("%s says it is ready, its disk stalled for %s", p.Name, time.Since(start).Round(time.Millisecond))
		}
	}
	sleepContext(ctx, duration-time.Since(start))
	lock.release(ctx)
	if tb.awaitExit(p, selfExitTimeout) {
		p.Stopped = true
		tb.restart(p)
	}
}

// databaseLock is the write lock of a SQLite database.
type databaseLock struct {
	db         *sql.DB
	connection *sql.Conn
}

// lockDatabase takes the write lock; the caller must call close.
func lockDatabase(ctx context.Context, file string) (*databaseLock, error) {
	db, err := sql.Open("sqlite3", "file:"+file+"?_busy_timeout=2000")
	if err != nil {
		return nil, err
	}
	lock := &databaseLock{db: db}
	if lock.connection, err = db.Conn(ctx); err == nil {
		_, err = lock.connection.ExecContext(ctx, "BEGIN IMMEDIATE")
	}
	if err != nil {
		lock.close()
		return nil, err
	}
	return lock, nil
}

// release gives the lock back, even if the context has ended.
func (l *databaseLock) release(ctx context.Context) {
	_, _ = l.connection.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
}

func (l *databaseLock) close() {
	if l.connection != nil {
		_ = l.connection.Close()
	}
	_ = l.db.Close()
}
