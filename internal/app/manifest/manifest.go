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

// APIVersion is the apiVersion that objects must have.
const APIVersion = "dunlinwell/v1"

const (
	// documentSeparator is the line between two documents of a YAML stream.
	documentSeparator = "---"
	// maxLineLength is the maximum length of a line, in bytes.
	maxLineLength = 1 << 20
)

// itemKinds maps the kind of an object to the kind of item.
var itemKinds = map[string]string{"Service": "service", "Route": "route", "Cell": "cell"}

// change is a change in JSON, as configuration.ReadChange reads it.
type change struct {
	Items []json.RawMessage `json:"changes"`
	ID    string            `json:"id"`
}

// itemChange is the change of one item, which replaces the item's body.
type itemChange struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Put     json.RawMessage `json:"put"`
	Version json.RawMessage `json:"version,omitempty"`
}

// Read converts all documents to one change with the given ID. It returns the change or the
// violations, never both.
func Read(id string, raw []byte) ([]byte, []configuration.Violation) {
	items, violations := readItems(raw)
	if len(items) == 0 && len(violations) == 0 {
		violations = fileViolation("holds no objects")
	}
	if len(violations) > 0 {
		return nil, violations
	}
	encoded, err := json.Marshal(change{Items: items, ID: id})
	if err != nil {
		return nil, fileViolation(err.Error())
	}
	// The registry makes the same check; here it finds violations before anything is sent.
	if _, violations := configuration.ReadChange(encoded); len(violations) > 0 {
		return nil, violations
	}
	return encoded, nil
}

func fileViolation(reason string) []configuration.Violation {
	return []configuration.Violation{{Item: "file", Reason: reason}}
}

// readItems converts each document to the change of an item.
func readItems(raw []byte) (items []json.RawMessage, violations []configuration.Violation) {
	for i, document := range splitDocuments(raw) {
		report := func(path, reason string) {
			violations = append(violations, configuration.Violation{Item: fmt.Sprintf("document %d", i+1), Path: path, Reason: reason})
		}
		// The strict parser rejects duplicate keys.
		asJSON, err := yaml.YAMLToJSONStrict(document)
		if err != nil {
			report("", err.Error())
			continue
		}
		if string(asJSON) == "null" {
			continue // the document has only comments
		}
		if item := readObject(gjson.ParseBytes(asJSON), report); item != nil {
			items = append(items, item)
		}
	}
	return items, violations
}

// splitDocuments splits a stream into its non-empty documents.
func splitDocuments(raw []byte) [][]byte {
	var documents [][]byte
	var document bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, maxLineLength)
	for lines.Scan() {
		if line := lines.Text(); line == documentSeparator || strings.HasPrefix(line, documentSeparator+" ") {
			documents = append(documents, bytes.Clone(document.Bytes()))
			document.Reset()
			continue
		}
		document.Write(lines.Bytes())
		document.WriteByte('\n')
	}
	documents = append(documents, document.Bytes())
	return slices.DeleteFunc(documents, func(d []byte) bool { return len(bytes.TrimSpace(d)) == 0 })
}

// readObject converts one object to the change of an item, in JSON. It reports violations
// with the path of the field, and returns nil if the kind or the spec is invalid.
func readObject(object gjson.Result, report func(path, reason string)) json.RawMessage {
	if !object.IsObject() {
		report("", "must be an object")
		return nil
	}
	configuration.CheckKeys(object, "", report, "apiVersion", "kind", "metadata", "spec")
	if version := object.Get("apiVersion"); version.String() != APIVersion {
		report("apiVersion", "must be "+APIVersion)
	}
	kind, known := itemKinds[object.Get("kind").String()]
	if !known {
		report("kind", fmt.Sprintf("%q is not known; the kinds are Service, Route and Cell", object.Get("kind").String()))
	}
	metadata := object.Get("metadata")
	configuration.CheckKeys(metadata, "metadata", report, "name", "resourceVersion")
	if !metadata.IsObject() || metadata.Get("name").Type != gjson.String {
		report("metadata.name", "is missing")
	}
	spec := object.Get("spec")
	if !spec.IsObject() {
		report("spec", "must be an object")
	}
	if !known || !spec.IsObject() {
		return nil
	}
	item := itemChange{Kind: kind, Name: metadata.Get("name").String(), Put: json.RawMessage(spec.Raw)}
	return encodeItem(item, metadata.Get("resourceVersion"), report)
}

// encodeItem adds the expected version, if there is one, and returns the item in JSON.
func encodeItem(item itemChange, version gjson.Result, report func(path, reason string)) json.RawMessage {
	if version.Exists() {
		item.Version = json.RawMessage(strings.Trim(version.Raw, `"`))
		if !json.Valid(item.Version) {
			report("metadata.resourceVersion", "must be an item's version")
			return nil
		}
	}
	raw, err := json.Marshal(item)
	if err != nil {
		report("", err.Error())
	}
	return raw
}
