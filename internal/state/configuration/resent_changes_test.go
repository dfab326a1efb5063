package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dunlinwell/internal/base/ids"
)

// sentChange is a change that an operator may send again, and its first end.
type sentChange struct {
	id, parts string
	first     Result
}

// Operators in a race, with copies of any age: one that was taken is never
// refused nor made a second time, and one that was refused never comes in force.
func TestApply_ResentChangesOfAnyAgeKeepTheirOutcome(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 18))
		p := emptyDocument(t)
		var all []sentChange
		unclear := 0
		for i := range 3 * maxChangeEntries {
			if i > 0 && i%4 == 0 {
				s := all[random.IntN(len(all))]
				q, r := applyChange(t, p, s.id, s.parts)
				switch {
				case r.UnknownReason != "":
					unclear++
				case s.first.Accepted() != r.Accepted():
					t.Fatalf("%s %s: first %+v, then %+v", s.id, s.parts, s.first, r)
				}
				if q.Revision != p.Revision {
					t.Fatalf("%s was made twice", s.id)
				}
				continue
			}
			s := sentChange{id: fmt.Sprintf("c%d", i)}
			name := ids.Name(fmt.Sprintf("s%d", random.IntN(5)))
			known := p.Services[name].Version
			if random.IntN(4) == 0 {
				known -= min(known, ids.Revision(random.IntN(6)))
			}
			deed := fmt.Sprintf(`"put":{"circuits":%d}`, random.IntN(50))
			if random.IntN(5) == 0 {
				deed = `"remove":true`
			}
			version := fmt.Sprintf(`"version":%d,`, known)
			if known == 0 || random.IntN(3) == 0 {
				version, s.id = "", ChangeIDAt(p.Revision-min(p.Revision, 3), s.id)
			}
			s.parts = fmt.Sprintf(`{"kind":"service","name":%q,%s%s}`, name, version, deed)
			p, s.first = applyChange(t, p, s.id, s.parts)
			if s.first.UnknownReason != "" {
				t.Fatalf("%s is new: %+v", s.id, s.first)
			}
			all = append(all, s)
			if i%1000 == 0 {
				p = reencoded(t, p)
			}
		}
		if unclear == 0 || p.history().ForgottenRevision == 0 {
			t.Fatal("no copy was older than what is remembered")
		}
	}
}
