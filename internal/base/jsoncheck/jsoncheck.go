// Package sound tells whether bytes from outside may be read as JSON at all.
package jsoncheck

import "github.com/tidwall/gjson"

// maxDepth is how far objects and lists may stand within one another. gjson reads
// each level by a call of its own, and the stack of millions ends the process.
const maxDepth = 1 << 15

// Valid tells whether raw is valid JSON that doesn't nest without measure.
func Valid(raw []byte) bool { return Depth(raw) <= maxDepth && gjson.ValidBytes(raw) }

// Depth tells how far objects and lists stand within one another.
func Depth(raw []byte) int {
	deepest, depth, inString := 0, 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}
