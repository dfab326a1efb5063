// Package manifest reads Kubernetes-style objects into the same checked change
// that every other way of sending configuration makes.
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

	"dunlinwell/internal/state/configuration"
)

// APIVersion is what the objects must say.
const APIVersion = "dunlinwell/v1"

var itemKinds = map[string]string{"Service": "service", "Route": "route", "Cell": "cell"}

// Read makes one whole change of all documents, YAML or JSON. Unknown kinds
// and fields are faults that name the document and the path.
func Read(id string, raw []byte) ([]byte, []configuration.Violation) {
	var violations []configuration.Violation
	var parts []json.RawMessage
	for i, doc := range splitDocuments(raw) {
		item := fmt.Sprintf("document %d", i+1)
		report := func(path, why string) {
			violations = append(violations, configuration.Violation{Item: item, Path: path, Reason: why})
		}
		// Strict: a doubled key is an error here already.
		js, err := yaml.YAMLToJSONStrict(doc)
		if err != nil {
			report("", err.Error())
			continue
		}
		if string(js) == "null" {
			continue
		}
		if part := itemChange(gjson.ParseBytes(js), report); part != nil {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 && len(violations) == 0 {
		violations = append(violations, configuration.Violation{Item: "file", Reason: "holds no objects"})
	}
	if len(violations) > 0 {
		return nil, violations
	}
	change, err := json.Marshal(map[string]any{"id": id, "changes": parts})
	if err != nil {
		return nil, []configuration.Violation{{Item: "file", Reason: err.Error()}}
	}
	// The very check that the registry makes, so that faults show before sending.
	if _, violations := configuration.ReadChange(change); len(violations) > 0 {
		return nil, violations
	}
	return change, nil
}

// splitDocuments cuts a stream into documents at lines of three dashes.
func splitDocuments(raw []byte) [][]byte {
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

// itemChange turns one object into one part of the change.
func itemChange(doc gjson.Result, report func(path, why string)) json.RawMessage {
	if !doc.IsObject() {
		report("", "must be an object")
		return nil
	}
	configuration.CheckKeys(doc, "", report, "apiVersion", "kind", "metadata", "spec")
	if v := doc.Get("apiVersion"); v.String() != APIVersion {
		report("apiVersion", "must be "+APIVersion)
	}
	kind, known := itemKinds[doc.Get("kind").String()]
	if !known {
		report("kind", fmt.Sprintf("%q is not known; there are Service, Route and Cell", doc.Get("kind").String()))
	}
	meta := doc.Get("metadata")
	configuration.CheckKeys(meta, "metadata", report, "name", "resourceVersion")
	if !meta.IsObject() || meta.Get("name").Type != gjson.String {
		report("metadata.name", "is missing")
	}
	spec := doc.Get("spec")
	if !spec.IsObject() {
		report("spec", "must be an object")
	}
	if !known || !spec.IsObject() {
		return nil
	}
	part := map[string]any{"kind": kind, "name": meta.Get("name").Value(), "put": json.RawMessage(spec.Raw)}
	if v := meta.Get("resourceVersion"); v.Exists() {
		part["version"] = json.RawMessage(strings.Trim(v.Raw, `"`))
		if !json.Valid(part["version"].(json.RawMessage)) {
			report("metadata.resourceVersion", "must be an item's version")
			return nil
		}
	}
	raw, err := json.Marshal(part)
	if err != nil {
		report("", err.Error())
	}
	return raw
}
