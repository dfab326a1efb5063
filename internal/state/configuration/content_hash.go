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

// contentHashSize is the length in bytes of a truncated content hash.
const contentHashSize = 6

// contentHash identifies the content of a change or item. It doesn't depend on the order
// of keys, white space, escapes or number formats in the JSON.
type contentHash [contentHashSize]byte

// removedContentHash is the content hash of a removed item.
var removedContentHash = hashParts("removed")

func hashParts(parts ...string) contentHash {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return contentHash(sum[:contentHashSize])
}

// hashItem hashes an item by its source, or by its body if it has no source: another
// release may derive a different body from the same source.
func hashItem(body, source json.RawMessage) contentHash {
	if len(source) > 0 {
		return hashParts("source", canonicalJSON(source))
	}
	return hashParts("body", canonicalJSON(body))
}

// hashChange hashes the items of a change, without its ID.
func hashChange(c Change) contentHash {
	var parts []string
	for _, item := range c.Items {
		version := "any"
		if item.Version != nil {
			version = strconv.FormatUint(uint64(*item.Version), 10)
		}
		parts = append(parts, item.Kind, string(item.Name), version, strconv.FormatBool(item.Remove),
			canonicalJSON(item.Put), canonicalJSON(item.Set))
	}
	return hashParts(parts...)
}

// contentHash returns the hash of the item's content.
func (v VersionedItem) contentHash() contentHash {
	if v.Removed {
		return removedContentHash
	}
	return hashItem(v.Body, v.Source)
}

// contentHashOf returns the content hash of the named item, or removedContentHash if there
// is none.
func (d *Document) contentHashOf(kind string, name ids.Name) contentHash {
	item, ok := d.Items(kind)[name]
	if !ok {
		return removedContentHash
	}
	return hashItem(item.Body, item.Source)
}

// canonicalJSON returns the canonical encoding of a JSON value.
func canonicalJSON(raw json.RawMessage) string {
	var out strings.Builder
	writeCanonicalJSON(&out, gjson.ParseBytes(raw))
	return out.String()
}

func writeCanonicalJSON(out *strings.Builder, v gjson.Result) {
	switch {
	case v.IsObject():
		writeCanonicalObject(out, v)
	case v.IsArray():
		out.WriteByte('[')
		v.ForEach(func(_, element gjson.Result) bool {
			writeCanonicalJSON(out, element)
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

// writeCanonicalObject writes the members sorted by key. Members with the same key keep
// their order.
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
		writeCanonicalJSON(out, m.value)
		out.WriteByte(',')
	}
	out.WriteByte('}')
}

// canonicalNumber returns the same text for 4, 4.0 and 4e0. Integers keep all their
// digits, even those that exceed the precision of a float64.
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
