package simulator

import (
	"testing"
	"time"
)

// No scene violates a rule of the checker.
func TestScenes(t *testing.T) {
	for name, scene := range Scenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				p := Options{Seed: seed, Length: 50 * time.Second, Script: scene}
				o := Run(p)
				report(t, o)
				if o.Responses["answered"] < 500 || o.Changes < 20 {
					t.Errorf("seed %d: too few responses or changes: %v, %d changes", seed, o.Responses, o.Changes)
				}
			}
		})
	}
}
