package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// items gives bytes like those of a policy: many items, then a list of results.
func items(n, changed, results int) []byte {
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

func TestDifferenceLeadsToTheNext(t *testing.T) {
	is := is.New(t)
	dice := rand.New(rand.NewPCG(1, 2))
	base := items(200, 0, 20)
	for round := range 2000 {
		next := slices.Clone(base)
		for range dice.IntN(5) {
			at := dice.IntN(len(next) + 1)
			end := min(len(next), at+dice.IntN(200))
			fresh := make([]byte, dice.IntN(200))
			for i := range fresh {
				fresh[i] = "abc{},"[dice.IntN(6)]
			}
			next = slices.Replace(next, at, end, fresh...)
		}
		d := Make(base, next)
		got, err := Apply(base, d)
		is.NoErr(err)
		is.True(bytes.Equal(got, next))
		if round%10 == 0 {
			base = next
		}
		if len(base) == 0 {
			base = items(200, 0, 20)
		}
	}
	for _, pair := range [][2]string{{"", ""}, {"", "a"}, {"a", ""}, {"abc", "abc"}} {
		got, err := Apply([]byte(pair[0]), Make([]byte(pair[0]), []byte(pair[1])))
		is.NoErr(err)
		is.Equal(string(got), pair[1])
	}
}

// A difference goes by what changed, not by how much there is.
func TestDifferenceIsSmall(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 5000, 15000} {
		for changed := range 12 {
			d := Make(items(n, changed, 250), items(n, changed+1, 250))
			is.True(len(d) < 200)
		}
	}
}

// What was damaged, cut short or made for another base is an error.
func TestDamagedDifferences(t *testing.T) {
	is := is.New(t)
	base, next := items(50, 0, 5), items(50, 3, 5)
	good := Make(base, next)
	_, err := Apply(next, good)
	is.True(err != nil)
	for cut := range good {
		_, err := Apply(base, good[:cut])
		is.True(err != nil)
	}
	for at := range good {
		for _, flip := range []byte{1, 0x80, 0xff} {
			bad := slices.Clone(good)
			bad[at] ^= flip
			if got, err := Apply(base, bad); err == nil {
				is.True(bytes.Equal(got, next)) // no other outcome passes for the right one
			}
		}
	}
}

// Many changed items that are much like one another cost no more than they are.
func TestManyChangesAmongLikeItems(t *testing.T) {
	is := is.New(t)
	base := items(5000, 0, 0)
	next := bytes.ReplaceAll(base, []byte(`"s3"`), []byte(`"another"`))
	d := Make(base, next)
	got, err := Apply(base, d)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
	is.True(len(d) < 5000/7*40)
}

func BenchmarkOneOf15000(b *testing.B) {
	base, next := items(15000, 0, 250), items(15000, 1, 250)
	d := Make(base, next)
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			Make(base, next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = Apply(base, d)
		}
	})
}
