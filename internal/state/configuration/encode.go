package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// marshal writes the very bytes that json.Marshal does, without reading each
// item's body again: it is most of a configuration, and is nearly always in the form
// that json.Marshal would give it.
func (d *Document) marshal() []byte {
	shell := *d
	shell.Services, shell.Routes, shell.Zones, shell.Limits = nil, nil, nil, nil
	rest, err := json.Marshal(&shell)
	if err != nil {
		return nil
	}
	head := append([]byte(`{"revision":`), strconv.FormatUint(uint64(d.Revision), 10)...)
	rest, plain := bytes.CutPrefix(rest, append(slices.Clone(head), `,"services":null,"routes":null,"cells":null`...))
	if !plain {
		raw, _ := json.Marshal(d)
		return raw
	}
	out := head
	for _, part := range []struct {
		name  string
		items map[ids.Name]Item
	}{{"services", d.Services}, {"routes", d.Routes}, {"cells", d.Zones}, {"limits", d.Limits}} {
		if part.name == "limits" && len(part.items) == 0 {
			continue
		}
		out = append(out, `,"`+part.name+`":`...)
		out = appendItems(out, part.items)
	}
	return append(out, rest...)
}

func appendItems(out []byte, items map[ids.Name]Item) []byte {
	if items == nil {
		return append(out, "null"...)
	}
	out = append(out, '{')
	for i, n := range slices.Sorted(maps.Keys(items)) {
		if i > 0 {
			out = append(out, ',')
		}
		name, _ := json.Marshal(n)
		out = append(append(out, name...), ':')
		out = items[n].appendJSON(out)
	}
	return append(out, '}')
}

// appendJSON appends an item, field by field in their order. A test sets every
// field that an Item has and compares with what json.Marshal writes.
func (it Item) appendJSON(out []byte) []byte {
	out = append(out, `{"version":`...)
	out = strconv.AppendUint(out, uint64(it.Version), 10)
	out = appendRaw(append(out, `,"body":`...), it.Body)
	if len(it.Source) > 0 {
		out = appendRaw(append(out, `,"source":`...), it.Source)
	}
	out = appendTrue(out, "merged", it.Merged)
	out = appendNumber(out, "at", it.ChangedAt)
	if it.ChangeHash != "" {
		by, _ := json.Marshal(it.ChangeHash)
		out = append(append(out, `,"by":`...), by...)
	}
	out = appendNumber(out, "prev", it.PreviousVersion)
	out = appendTrue(out, "given", it.EverMerged)
	return append(out, '}')
}

func appendTrue(out []byte, name string, set bool) []byte {
	if set {
		out = append(out, `,"`+name+`":true`...)
	}
	return out
}

func appendNumber(out []byte, name string, n ids.Revision) []byte {
	if n != 0 {
		out = strconv.AppendUint(append(out, `,"`+name+`":`...), uint64(n), 10)
	}
	return out
}

// appendRaw appends JSON in the form that json.Marshal gives it: compact, and
// with what HTML minds escaped.
func appendRaw(out []byte, raw json.RawMessage) []byte {
	// U+2028 and U+2029 begin with the byte e2.
	if len(raw) > 0 && !bytes.ContainsAny(raw, " \t\r\n<>&") && bytes.IndexByte(raw, 0xe2) < 0 {
		return append(out, raw...)
	}
	compact, _ := json.Marshal(raw)
	return append(out, compact...)
}
