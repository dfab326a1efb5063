package configuration

import (
	"crypto/sha256"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// contentHashSize is how many bytes of a content's hash are kept.
const contentHashSize = 6

// contentHash sums up a content: equal for two spellings of one JSON value,
// whatever the order of keys, the blanks, the escapes or the form of numbers.
type contentHash [contentHashSize]byte

// removedContentHash is the content of an item that a version removes.
var removedContentHash = hashParts("removed")

func hashParts(parts ...string) contentHash {
	whole := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return contentHash(whole[:contentHashSize])
}

// hashItem sums up an item by its caller's own form, or by its body where it
// has none: a body may be derived in another way by another release.
func hashItem(body, source json.RawMessage) contentHash {
	if len(source) > 0 {
		return hashParts("source", canonical(gjson.ParseBytes(source)))
	}
	return hashParts("body", canonical(gjson.ParseBytes(body)))
}

// hashChange sums up what a change asks for, without its id.
func hashChange(c Change) contentHash {
	var parts []string
	for _, part := range c.Items {
		version := "any"
		if part.Version != nil {
			version = strconv.FormatUint(uint64(*part.Version), 10)
		}
		parts = append(parts, part.Kind, string(part.Name), version, strconv.FormatBool(part.Remove),
			canonical(gjson.ParseBytes(part.Put)), canonical(gjson.ParseBytes(part.Set)))
	}
	return hashParts(parts...)
}

// canonical writes a JSON value in its one canonical spelling.
func canonical(v gjson.Result) string {
	var out strings.Builder
	writeCanonical(&out, v)
	return out.String()
}

func writeCanonical(out *strings.Builder, v gjson.Result) {
	switch {
	case v.IsObject():
		writeCanonicalObject(out, v)
	case v.IsArray():
		out.WriteByte('[')
		v.ForEach(func(_, element gjson.Result) bool {
			writeCanonical(out, element)
			out.WriteByte(',')
			return true
		})
		out.WriteByte(']')
	case v.Type == gjson.String:
		out.WriteString(strconv.Quote(v.Str))
	case v.Type == gjson.Number:
		out.WriteString(canonicalNumber(v.Raw))
	default:
		out.WriteString(v.Raw)
	}
}

// writeCanonicalObject writes the members by key; members of one key keep their order.
func writeCanonicalObject(out *strings.Builder, v gjson.Result) {
	type member struct {
		key   string
		value gjson.Result
	}
	var members []member
	v.ForEach(func(key, value gjson.Result) bool {
		members = append(members, member{key.Str, value})
		return true
	})
	slices.SortStableFunc(members, func(a, b member) int { return strings.Compare(a.key, b.key) })
	out.WriteByte('{')
	for _, m := range members {
		out.WriteString(strconv.Quote(m.key))
		out.WriteByte(':')
		writeCanonical(out, m.value)
		out.WriteByte(',')
	}
	out.WriteByte('}')
}

// canonicalNumber gives 4, 4.0 and 4e0 one form. Whole numbers keep all their
// digits, also those that a float doesn't hold.
func canonicalNumber(raw string) string {
	if !strings.ContainsAny(raw, ".eE") {
		return raw
	}
	f, err := strconv.ParseFloat(raw, 64)
	switch {
	case err != nil:
		return raw
	case f == math.Trunc(f) && math.Abs(f) < 1<<53:
		return strconv.FormatInt(int64(f), 10)
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}
