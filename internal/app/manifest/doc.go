// Package manifest reads Kubernetes-style objects, in YAML or JSON, and makes a change
// of the configuration of them: the same checked change that every other way of sending
// configuration makes.
//
// A file is taken whole or not at all. Violations name the document, or the item, and
// the path of the field. The package sends nothing and keeps nothing.
package manifest
