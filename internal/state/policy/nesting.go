package policy

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// twice finds keys that stand twice in an object: two readers could each take
// another of them for the truth.
func twice(path string, v gjson.Result, bad func(path, why string)) {
	twiceWithin(path, v, deepest, bad)
}

// deepest is how far objects and lists may stand within one another. Ours need
// three; each level is read anew, so that thousands of them would take seconds.
const deepest = 16

func twiceWithin(path string, v gjson.Result, left int, bad func(path, why string)) {
	if left == 0 {
		bad(path, "is nested too deeply")
		return
	}
	seen, n := map[string]bool{}, -1
	v.ForEach(func(k, in gjson.Result) bool {
		n++
		at := join2(path, strconv.Itoa(n))
		if v.IsObject() {
			at = join2(path, k.String())
			if seen[k.String()] {
				bad(at, "stands twice")
			}
			seen[k.String()] = true
		}
		if in.IsObject() || in.IsArray() {
			twiceWithin(at, in, left-1, bad)
		}
		return true
	})
}
