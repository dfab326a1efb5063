package testbed

import (
	"context"
	"database/sql"
	"net/http"
	"path/filepath"
	"time"

	_ "github.com/mattn/go-sqlite3" // driver, used to lock a store's database
)

const (
	// storeDatabase is the name of a store's database file in its data directory.
	storeDatabase = "stockroom.db"
	// stallDetectionTime is the time within which a store must detect a stalled disk and
	// report that it isn't ready.
	stallDetectionTime = 2500 * time.Millisecond
	// minDetectableStall is the shortest stall that a store must detect.
	minDetectableStall = 2 * time.Second
	// selfExitTimeout bounds the wait for a store that exits because of its disk.
	selfExitTimeout = 500 * time.Millisecond
)

// stallDisk blocks a store's writes for a duration by locking its database. The store
// must report that it isn't ready, or exit, in which case it is restarted.
func (tb *Testbed) stallDisk(ctx context.Context, p *Process, duration time.Duration) {
	lock, err := lockDatabase(ctx, filepath.Join(p.Data, storeDatabase))
	if err != nil {
		tb.Checker.Violation("stall %s: %v", p.Name, err)
		return
	}
	// Close only after the store's restart: when the last connection closes, SQLite
	// checkpoints the write-ahead log.
	defer lock.close()
	start := time.Now()
	sleepContext(ctx, min(duration, stallDetectionTime))
	res, err := http.Get("http://" + p.HTTP + "/readyz")
	if err == nil {
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && duration > minDetectableStall {
			tb.Checker.Violation("%s reports that it is ready although its disk has been stalled for %s", p.Name, time.Since(start).Round(time.Millisecond))
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

// lockDatabase acquires the write lock; the caller must call close.
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

// release releases the lock, even if the context is done.
func (l *databaseLock) release(ctx context.Context) {
	_, _ = l.connection.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
}

func (l *databaseLock) close() {
	if l.connection != nil {
		_ = l.connection.Close()
	}
	_ = l.db.Close()
}
