package jsoncheck

import "github.com/tidwall/gjson"

// maxDepth bounds how deep objects and lists may be nested. It is far beyond any
// configuration, and far below the millions of levels that overflow a stack.
const maxDepth = 1 << 15

// Valid reports whether raw is valid JSON that isn't nested too deep to parse.
func Valid(raw []byte) bool { return Depth(raw) <= maxDepth && gjson.ValidBytes(raw) }

// Depth gives how deep objects and lists are nested in raw, which needn't be valid.
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
