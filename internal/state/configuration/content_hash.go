package configuration

import (
	"crypto/sha256"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/ids"
)

// contentHashSize is how many bytes of a content's hash are kept.
const contentHashSize = 6

// contentHash identifies a content. It is equal for two spellings of one JSON value,
// whatever the order of keys, the white space, the escapes or the format of numbers.
type contentHash [contentHashSize]byte

// removedContentHash stands for the removal of an item.
var removedContentHash = hashParts("removed")

func hashParts(parts ...string) contentHash {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return contentHash(sum[:contentHashSize])
}

// hashItem hashes an item by its source, or by its body if there is none: another
// release may derive another body from the same source.
func hashItem(body, source json.RawMessage) contentHash {
	if len(source) > 0 {
		return hashParts("source", canonical(source))
	}
	return hashParts("body", canonical(body))
}

// hashChange hashes what a change asks for, without its id.
func hashChange(c Change) contentHash {
	var parts []string
	for _, item := range c.Items {
		version := "any"
		if item.Version != nil {
			version = strconv.FormatUint(uint64(*item.Version), 10)
		}
		parts = append(parts, item.Kind, string(item.Name), version, strconv.FormatBool(item.Remove),
			canonical(item.Put), canonical(item.Set))
	}
	return hashParts(parts...)
}

// contentHash hashes what the item asks for.
func (v VersionedItem) contentHash() contentHash {
	if v.Removed {
		return removedContentHash
	}
	return hashItem(v.Body, v.Source)
}

// contentHashOf hashes what a name stands for at present: an item or its removal.
func (d *Document) contentHashOf(kind string, name ids.Name) contentHash {
	item, ok := d.Items(kind)[name]
	if !ok {
		return removedContentHash
	}
	return hashItem(item.Body, item.Source)
}

// canonical returns a JSON value in its one canonical spelling.
func canonical(raw json.RawMessage) string {
	var out strings.Builder
	writeCanonical(&out, gjson.ParseBytes(raw))
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

// writeCanonicalObject writes the members by key. Members with the same key keep their
// order.
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

// canonicalNumber gives 4, 4.0 and 4e0 one spelling. Whole numbers keep all their
// digits, also those that a float64 can't hold.
func canonicalNumber(raw string) string {
	if !strings.ContainsAny(raw, ".eE") {
		return raw
	}
	value, err := strconv.ParseFloat(raw, 64)
	switch {
	case err != nil:
		return raw
	case value == math.Trunc(value) && math.Abs(value) < 1<<53:
		return strconv.FormatInt(int64(value), 10)
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
