package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// restartOldSeeds moves the whole core to other machines and then starts the
// first three stores again, blank and with the setting of the first start.
func restartOldSeeds(w *World, alone bool) {
	w.repeat(2*time.Second, 11*time.Second, 3, func(i int) { w.replaceAfterLoss(w.processes[i]) })
	w.schedule(36*time.Second, func() {
		old := map[string]bool{}
		for _, p := range w.processes[:3] {
			old[p.name] = true
		}
		if alone {
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

// Three blank stores whose settings still call it the first start come up beside
// a core that has moved on, in its reach or with proxies alone in theirs.
func TestBootstrap_OldSeedsFormNoSecondCore(t *testing.T) {
	is := is.New(t)
	for _, alone := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			o := Run(Options{Seed: seed, Length: 55 * time.Second, KeepLog: true, Script: func(w *World) { restartOldSeeds(w, alone) }})
			report(t, o)
			is.Equal(strings.Count(strings.Join(o.Log, "\n"), " bootstrap_completed ["), 1)
		}
	}
}

// The setting stays on in all settings files, and the disks of all three are lost.
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
