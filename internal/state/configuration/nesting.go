package configuration

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// checkDuplicateKeys finds keys that stand twice in an object: two readers could each take
// another of them for the truth.
func checkDuplicateKeys(path string, v gjson.Result, bad func(path, why string)) {
	checkDuplicateKeysWithin(path, v, maxChangeDepth, bad)
}

// maxChangeDepth is how far objects and lists may stand within one another. Ours need
// three; each level is read anew, so that thousands of them would take seconds.
const maxChangeDepth = 16

func checkDuplicateKeysWithin(path string, v gjson.Result, left int, bad func(path, why string)) {
	if left == 0 {
		bad(path, "is nested too deeply")
		return
	}
	seen, n := map[string]bool{}, -1
	v.ForEach(func(k, in gjson.Result) bool {
		n++
		at := joinPath(path, strconv.Itoa(n))
		if v.IsObject() {
			at = joinPath(path, k.String())
			if seen[k.String()] {
				bad(at, "stands twice")
			}
			seen[k.String()] = true
		}
		if in.IsObject() || in.IsArray() {
			checkDuplicateKeysWithin(at, in, left-1, bad)
		}
		return true
	})
}
