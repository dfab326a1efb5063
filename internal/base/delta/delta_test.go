package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// sampleConfiguration returns JSON like that of a configuration: n items, one of which has
// its version increased by changed, followed by a list of results.
func sampleConfiguration(n, changed, results int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision":%d,"routes":{`, 999+changed)
	for i := range n {
		version := 1
		if i == n/2 {
			version += changed
		}
		fmt.Fprintf(&b, `"r%05d":{"version":%d,"body":{"prefix":"/r%05d","service":"s%d"}},`, i, version, i, i%7)
	}
	b.WriteString(`},"recent":[`)
	for i := range results {
		fmt.Fprintf(&b, `{"id":"c%d","revision":%d},`, i+changed, i+changed)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func TestApply_ReconstructsNextFromDelta(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	base := sampleConfiguration(200, 0, 20)
	for round := range 2000 {
		next := slices.Clone(base)
		for range random.IntN(5) {
			offset := random.IntN(len(next) + 1)
			end := min(len(next), offset+random.IntN(200))
			inserted := make([]byte, random.IntN(200))
			for i := range inserted {
				inserted[i] = "abc{},"[random.IntN(6)]
			}
			next = slices.Replace(next, offset, end, inserted...)
		}
		delta := Diff(base, next)
		got, err := Apply(base, delta)
		is.NoErr(err)
		is.True(bytes.Equal(got, next))
		if round%10 == 0 {
			base = next
		}
		if len(base) == 0 {
			base = sampleConfiguration(200, 0, 20)
		}
	}
}

func TestApply_ReconstructsShortStrings(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]string{{"", ""}, {"", "a"}, {"a", ""}, {"abc", "abc"}} {
		got, err := Apply([]byte(pair[0]), Diff([]byte(pair[0]), []byte(pair[1])))
		is.NoErr(err)
		is.Equal(string(got), pair[1])
	}
}

// The size of a delta must not depend on the size of the strings.
func TestDiff_SizeDependsOnChangeNotInput(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 5000, 15000} {
		for changed := range 12 {
			delta := Diff(sampleConfiguration(n, changed, 250), sampleConfiguration(n, changed+1, 250))
			is.True(len(delta) < 200)
		}
	}
}

// Apply must reject a delta that is corrupt, truncated or from a different base.
func TestApply_RejectsInvalidDeltas(t *testing.T) {
	is := is.New(t)
	base, next := sampleConfiguration(50, 0, 5), sampleConfiguration(50, 3, 5)
	valid := Diff(base, next)
	_, err := Apply(next, valid)
	is.True(errors.Is(err, ErrWrongBase))
	for cut := range valid {
		_, err := Apply(base, valid[:cut])
		is.True(err != nil)
	}
	for offset := range valid {
		for _, mask := range []byte{1, 0x80, 0xff} {
			corrupt := slices.Clone(valid)
			corrupt[offset] ^= mask
			if got, err := Apply(base, corrupt); err == nil {
				is.True(bytes.Equal(got, next)) // no wrong result is accepted
			}
		}
	}
}

// Changes of many similar items must take less than 40 bytes each.
func TestDiff_ManyChangesAmongSimilarItems(t *testing.T) {
	is := is.New(t)
	base := sampleConfiguration(5000, 0, 0)
	next := bytes.ReplaceAll(base, []byte(`"s3"`), []byte(`"another"`))
	delta := Diff(base, next)
	got, err := Apply(base, delta)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
	is.True(len(delta) < 5000/7*40)
}

func BenchmarkOneChangedItemOf15000(b *testing.B) {
	base, next := sampleConfiguration(15000, 0, 250), sampleConfiguration(15000, 1, 250)
	delta := Diff(base, next)
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			Diff(base, next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = Apply(base, delta)
		}
	})
}
