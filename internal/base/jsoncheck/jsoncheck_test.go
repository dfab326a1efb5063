package jsoncheck

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestValid(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		want bool
	}{
		"object":                {`{}`, true},
		"number":                {`7`, true},
		"brackets in a string":  {`{"a":"[[[{\"","b":[1,{}]}`, true},
		"empty":                 {``, false},
		"unclosed object":       {`{`, false},
		"two values":            {`{}{}`, false},
		"trailing backslash":    {`"\`, false},
		"only closing brackets": {`]]]`, false},
		"maximum depth":         {strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth), true},
		"one level too deep":    {strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1), false},
		"millions of arrays":    {strings.Repeat("[", 40<<20), false}, // would overflow the stack of a recursive parser
		"millions of objects":   {strings.Repeat(`{"a":`, 10<<20) + "1" + strings.Repeat("}", 10<<20), false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Valid([]byte(c.raw)), c.want)
		})
	}
}

func TestDepth_IgnoresBracketsInStrings(t *testing.T) {
	is.New(t).Equal(Depth([]byte(`{"a":"[[[{\"","b":[1,{}]}`)), 3)
}
