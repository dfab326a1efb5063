// Package jsoncheck decides whether bytes from outside may be given to a JSON
// parser. The parser used for configurations (gjson) recurses once for each level of
// nesting, and a stack overflow ends the process; so the depth is bounded first, by
// a scan without recursion. It never interprets the JSON.
package jsoncheck
