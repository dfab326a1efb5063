// Package jsoncheck checks untrusted JSON before it is parsed. The parser used for
// configurations (gjson) recurses for each level of nesting, and a stack overflow crashes
// the process, so the depth is limited first by a scan without recursion. The package
// never interprets the JSON.
package jsoncheck
