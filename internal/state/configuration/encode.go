package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// marshal returns the same bytes as json.Marshal, without parsing the body of each item
// again. Bodies are the bulk of a document and are nearly always compact already.
func (d *Document) marshal() []byte {
	withoutItems := *d
	withoutItems.Services, withoutItems.Routes, withoutItems.Zones, withoutItems.Limits = nil, nil, nil, nil
	tail, err := json.Marshal(&withoutItems)
	if err != nil {
		// Not reached: the remaining fields are all of types that can be marshaled.
		return nil
	}
	out := append([]byte(`{"revision":`), strconv.FormatUint(uint64(d.Revision), 10)...)
	tail, hasPrefix := bytes.CutPrefix(tail, append(slices.Clone(out), `,"services":null,"routes":null,"cells":null`...))
	if !hasPrefix {
		raw, _ := json.Marshal(d)
		return raw
	}
	out = appendItems(append(out, `,"services":`...), d.Services)
	out = appendItems(append(out, `,"routes":`...), d.Routes)
	out = appendItems(append(out, `,"cells":`...), d.Zones)
	if len(d.Limits) > 0 {
		out = appendItems(append(out, `,"limits":`...), d.Limits)
	}
	return append(out, tail...)
}

func appendItems(out []byte, items map[ids.Name]Item) []byte {
	if items == nil {
		return append(out, "null"...)
	}
	out = append(out, '{')
	for i, name := range sortedNames(items) {
		if i > 0 {
			out = append(out, ',')
		}
		key, _ := json.Marshal(name)
		out = append(append(out, key...), ':')
		out = items[name].appendJSON(out)
	}
	return append(out, '}')
}

// appendJSON appends the same bytes as json.Marshal, with the fields of Item in their
// order. A test compares the two for every combination of fields.
func (i Item) appendJSON(out []byte) []byte {
	out = append(out, `{"version":`...)
	out = strconv.AppendUint(out, uint64(i.Version), 10)
	out = appendRaw(append(out, `,"body":`...), i.Body)
	if len(i.Source) > 0 {
		out = appendRaw(append(out, `,"source":`...), i.Source)
	}
	out = appendTrue(out, "merged", i.Merged)
	out = appendNumber(out, "at", i.ChangedAt)
	if i.ChangeIDHash != "" {
		hash, _ := json.Marshal(i.ChangeIDHash)
		out = append(append(out, `,"by":`...), hash...)
	}
	out = appendNumber(out, "prev", i.PreviousVersion)
	out = appendTrue(out, "given", i.EverMerged)
	return append(out, '}')
}

// appendTrue appends a member with the value true, or nothing if value is false.
func appendTrue(out []byte, key string, value bool) []byte {
	if value {
		out = append(out, `,"`+key+`":true`...)
	}
	return out
}

// appendNumber appends a numeric member, or nothing if value is 0.
func appendNumber(out []byte, key string, value ids.Revision) []byte {
	if value != 0 {
		out = strconv.AppendUint(append(out, `,"`+key+`":`...), uint64(value), 10)
	}
	return out
}

// appendRaw appends JSON as json.Marshal writes it: compact, with characters escaped that
// are special in HTML or JavaScript.
func appendRaw(out []byte, raw json.RawMessage) []byte {
	// U+2028 and U+2029, which json.Marshal escapes, begin with the byte e2 in UTF-8.
	if len(raw) > 0 && !bytes.ContainsAny(raw, " \t\r\n<>&") && bytes.IndexByte(raw, 0xe2) < 0 {
		return append(out, raw...)
	}
	compact, _ := json.Marshal(raw)
	return append(out, compact...)
}
