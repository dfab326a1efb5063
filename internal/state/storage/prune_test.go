package storage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// The age of idempotency records is measured in uptime. A call deletes up to the given limit.
func TestPrune_DeletesExpiredRecordsInBatches(t *testing.T) {
	is := is.New(t)
	database := openForTest(t, t.TempDir())
	is.NoErr(database.Write([]event.Record{{Key: "item/mark/r/1", Value: []byte("x")}, {Key: "item/mark/r/2", Value: []byte("x")}, {Key: "item/policy", Value: []byte("x")}}))
	n, err := database.Prune(time.Hour, 10)
	is.NoErr(err)
	is.Equal(n, int64(0))
	database.earlierUptimeMillis += 2 * time.Hour.Milliseconds()
	n, err = database.Prune(time.Hour, 1)
	is.NoErr(err)
	is.Equal(n, int64(1))
	n, err = database.Prune(time.Hour, 10)
	is.NoErr(err)
	is.Equal(n, int64(1))
	_, ok := database.Get("item/policy")
	is.True(ok) // configuration doesn't expire
}

// Restarts, after which the monotonic clock has another origin, must not make records expire
// before their retention in uptime.
func TestPrune_KeepsUnexpiredRecordsAcrossRestarts(t *testing.T) {
	is := is.New(t)
	const retention, step = 24 * time.Hour, 10 * time.Minute
	dir, now := t.TempDir(), time.Duration(0)
	clock := func() time.Duration { return now }
	database, err := openWithClock(dir, clock, nil)
	is.NoErr(err)
	key := func(i int) ids.RegisterKey { return ids.RegisterKey(fmt.Sprintf("item/mark/r/%03d", i)) }
	pruned := 0
	for i := range 180 {
		is.NoErr(database.Write([]event.Record{{Key: key(i), Value: []byte("claimed")}}))
		is.NoErr(database.Write([]event.Record{{Key: key(i), Value: []byte("completed")}}))
		now += step
		n, err := database.Prune(retention, 512)
		is.NoErr(err)
		pruned += int(n)
		if i%17 == 0 {
			// Restart with a clock of another origin.
			is.NoErr(database.Close())
			now = time.Duration(i%3) * 1000 * time.Hour
			database, err = openWithClock(dir, clock, nil)
			is.NoErr(err)
		}
		for k := range i + 1 {
			if _, ok := database.Get(key(k)); !ok && time.Duration(i+1-k)*step < retention {
				t.Fatalf("record %d is gone after %v, before its retention", k, time.Duration(i+1-k)*step)
			}
		}
	}
	is.True(pruned > 30) // the records of the first hours
	is.NoErr(database.Close())
}
