// Package manifest reads Kubernetes-style objects into the same checked change
// that every other way of sending policy makes.
package manifest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
	"sigs.k8s.io/yaml"

	"dunlinwell/internal/state/policy"
)

// APIVersion is what the objects must say.
const APIVersion = "dunlinwell/v1"

var kinds = map[string]string{"Service": "service", "Route": "route", "Cell": "cell"}

// Read makes one whole change of all documents, YAML or JSON. Unknown kinds
// and fields are faults that name the document and the path.
func Read(id string, raw []byte) ([]byte, []policy.Fault) {
	var faults []policy.Fault
	var parts []json.RawMessage
	for i, doc := range split(raw) {
		item := fmt.Sprintf("document %d", i+1)
		bad := func(path, why string) {
			faults = append(faults, policy.Fault{Item: item, Path: path, Problem: why})
		}
		// Strict: a doubled key is an error here already.
		js, err := yaml.YAMLToJSONStrict(doc)
		if err != nil {
			bad("", err.Error())
			continue
		}
		if string(js) == "null" {
			continue
		}
		if part := object(gjson.ParseBytes(js), bad); part != nil {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 && len(faults) == 0 {
		faults = append(faults, policy.Fault{Item: "file", Problem: "holds no objects"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	change, err := json.Marshal(map[string]any{"id": id, "changes": parts})
	if err != nil {
		return nil, []policy.Fault{{Item: "file", Problem: err.Error()}}
	}
	// The very check that the registry makes, so that faults show before sending.
	if _, faults := policy.ReadChange(change); len(faults) > 0 {
		return nil, faults
	}
	return change, nil
}

// split cuts a stream into documents at lines of three dashes.
func split(raw []byte) [][]byte {
	var docs [][]byte
	var doc bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Text(); line == "---" || strings.HasPrefix(line, "--- ") {
			docs = append(docs, bytes.Clone(doc.Bytes()))
			doc.Reset()
			continue
		}
		doc.Write(lines.Bytes())
		doc.WriteByte('\n')
	}
	docs = append(docs, doc.Bytes())
	return slices.DeleteFunc(docs, func(d []byte) bool { return len(bytes.TrimSpace(d)) == 0 })
}

// object turns one object into one part of the change.
func object(doc gjson.Result, bad func(path, why string)) json.RawMessage {
	if !doc.IsObject() {
		bad("", "must be an object")
		return nil
	}
	policy.Only(doc, "", bad, "apiVersion", "kind", "metadata", "spec")
	if v := doc.Get("apiVersion"); v.String() != APIVersion {
		bad("apiVersion", "must be "+APIVersion)
	}
	kind, known := kinds[doc.Get("kind").String()]
	if !known {
		bad("kind", fmt.Sprintf("%q is not known; there are Service, Route and Cell", doc.Get("kind").String()))
	}
	meta := doc.Get("metadata")
	policy.Only(meta, "metadata", bad, "name", "resourceVersion")
	if !meta.IsObject() || meta.Get("name").Type != gjson.String {
		bad("metadata.name", "is missing")
	}
	spec := doc.Get("spec")
	if !spec.IsObject() {
		bad("spec", "must be an object")
	}
	if !known || !spec.IsObject() {
		return nil
	}
	part := map[string]any{"kind": kind, "name": meta.Get("name").Value(), "put": json.RawMessage(spec.Raw)}
	if v := meta.Get("resourceVersion"); v.Exists() {
		part["version"] = json.RawMessage(strings.Trim(v.Raw, `"`))
		if !json.Valid(part["version"].(json.RawMessage)) {
			bad("metadata.resourceVersion", "must be an item's version")
			return nil
		}
	}
	raw, err := json.Marshal(part)
	if err != nil {
		bad("", err.Error())
	}
	return raw
}
