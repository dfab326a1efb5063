package jsoncheck

import "github.com/tidwall/gjson"

// maxDepth is the maximum nesting depth of objects and arrays. No configuration comes close
// to it, and a stack overflow takes millions of levels.
const maxDepth = 1 << 15

// Valid reports whether raw is valid JSON that isn't nested too deeply.
func Valid(raw []byte) bool { return Depth(raw) <= maxDepth && gjson.ValidBytes(raw) }

// Depth returns the nesting depth of objects and arrays in raw, which may be invalid JSON.
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
