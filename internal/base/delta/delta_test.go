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

// configurationLike gives bytes like those of a configuration: many items, one of
// which changes, then a list of results.
func configurationLike(n, changed, results int) []byte {
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

func TestApply_RestoresNextFromDiff(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	base := configurationLike(200, 0, 20)
	for round := range 2000 {
		next := slices.Clone(base)
		for range random.IntN(5) {
			at := random.IntN(len(next) + 1)
			end := min(len(next), at+random.IntN(200))
			fresh := make([]byte, random.IntN(200))
			for i := range fresh {
				fresh[i] = "abc{},"[random.IntN(6)]
			}
			next = slices.Replace(next, at, end, fresh...)
		}
		difference := Diff(base, next)
		got, err := Apply(base, difference)
		is.NoErr(err)
		is.True(bytes.Equal(got, next))
		if round%10 == 0 {
			base = next
		}
		if len(base) == 0 {
			base = configurationLike(200, 0, 20)
		}
	}
}

func TestApply_RestoresShortStrings(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]string{{"", ""}, {"", "a"}, {"a", ""}, {"abc", "abc"}} {
		got, err := Apply([]byte(pair[0]), Diff([]byte(pair[0]), []byte(pair[1])))
		is.NoErr(err)
		is.Equal(string(got), pair[1])
	}
}

// The size of a difference follows what changed, not how large the strings are.
func TestDiff_SizeFollowsTheChange(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 5000, 15000} {
		for changed := range 12 {
			difference := Diff(configurationLike(n, changed, 250), configurationLike(n, changed+1, 250))
			is.True(len(difference) < 200)
		}
	}
}

// A difference that is damaged, cut short or made for another base is an error.
func TestApply_RejectsDamagedDifferences(t *testing.T) {
	is := is.New(t)
	base, next := configurationLike(50, 0, 5), configurationLike(50, 3, 5)
	good := Diff(base, next)
	_, err := Apply(next, good)
	is.True(errors.Is(err, ErrWrongBase))
	for cut := range good {
		_, err := Apply(base, good[:cut])
		is.True(err != nil)
	}
	for at := range good {
		for _, flip := range []byte{1, 0x80, 0xff} {
			bad := slices.Clone(good)
			bad[at] ^= flip
			if got, err := Apply(base, bad); err == nil {
				is.True(bytes.Equal(got, next)) // no other result passes for the right one
			}
		}
	}
}

// Many changed items that are much alike cost less than 40 bytes each.
func TestDiff_ManyChangesAmongSimilarItems(t *testing.T) {
	is := is.New(t)
	base := configurationLike(5000, 0, 0)
	next := bytes.ReplaceAll(base, []byte(`"s3"`), []byte(`"another"`))
	difference := Diff(base, next)
	got, err := Apply(base, difference)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
	is.True(len(difference) < 5000/7*40)
}

func BenchmarkOneChangedItemOf15000(b *testing.B) {
	base, next := configurationLike(15000, 0, 250), configurationLike(15000, 1, 250)
	difference := Diff(base, next)
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			Diff(base, next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = Apply(base, difference)
		}
	})
}
