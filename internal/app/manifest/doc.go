// Package manifest converts Kubernetes-style objects, in YAML or JSON, to a change of the
// configuration. The change is validated like any other change.
//
// A file is accepted or rejected as a whole. Violations name the document or the item, and
// the path of the field. The package does no I/O and keeps no state; its tests are here.
package manifest
