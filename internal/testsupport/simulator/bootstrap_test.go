package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// restartOldSeeds replaces all core machines and then restarts the first three stores, blank and
// with the bootstrap setting on. If isolated, they are partitioned from the new core.
func restartOldSeeds(w *World, isolated bool) {
	w.repeat(2*time.Second, 11*time.Second, 3, func(i int) { w.replaceAfterLoss(w.processes[i]) })
	w.schedule(36*time.Second, func() {
		old := map[string]bool{}
		for _, p := range w.processes[:3] {
			old[p.name] = true
		}
		if isolated {
			isOld := func(name string, _ ids.Name) bool { return old[name] }
			isCore := func(name string, _ ids.Name) bool {
				return !old[name] && !strings.HasPrefix(name, membership.Proxy.String())
			}
			w.addPartition(time.Hour, &partition{sideA: isOld, sideB: isCore})
		}
		for _, p := range w.processes[:3] {
			p.removed, p.bootstrap = false, true
			p.disk.wipe()
			w.processByAddress[p.address] = p
			p.start()
		}
	})
}

// Guards against a second core bootstrapped by blank old seeds, whether or not they reach the
// current core.
func TestBootstrap_OldSeedsFormNoSecondCore(t *testing.T) {
	is := is.New(t)
	for _, isolated := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			o := Run(Options{Seed: seed, Length: 55 * time.Second, KeepLog: true, Script: func(w *World) { restartOldSeeds(w, isolated) }})
			report(t, o)
			is.Equal(strings.Count(strings.Join(o.Log, "\n"), " bootstrap_completed ["), 1)
		}
	}
}

// Guards against a second bootstrap when the bootstrap setting is stale and all disks are lost.
func TestBootstrap_StaleSettingAfterTotalLoss(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 3; seed++ {
		o := Run(Options{Seed: seed, Length: 25 * time.Second, KeepLog: true, StaleBootstrap: true, Script: everyDiskLost})
		report(t, o)
		log := strings.Join(o.Log, "\n")
		is.Equal(strings.Count(log, " bootstrap_completed ["), 1)
		is.Equal(strings.Count(log, " total_loss_recovered "), 1)
	}
}
