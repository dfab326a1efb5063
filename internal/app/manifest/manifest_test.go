package manifest

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/state/configuration"
)

const validManifest = `apiVersion: dunlinwell/v1
kind: Service
metadata: {name: ledger}
spec:
  tier: 8
---
# only a comment
---
{"apiVersion": "dunlinwell/v1", "kind": "Route", "metadata": {"name": "orders", "resourceVersion": "0"},
 "spec": {"prefix": "/orders", "service": "ledger", "repeatable": false}}
`

func TestRead_MakesOneChange(t *testing.T) {
	is := is.New(t)
	raw, violations := Read("x", []byte(validManifest))
	is.Equal(len(violations), 0)
	c, violations := configuration.ReadChange(raw)
	is.Equal(len(violations), 0)
	is.Equal(len(c.Items), 2)
	is.Equal(string(c.Items[0].Put), `{"tier":8}`)
	is.Equal(uint64(*c.Items[1].Version), uint64(0))
	document, err := configuration.Decode(nil)
	is.NoErr(err)
	_, result := document.Apply(c)
	is.True(result.Accepted())
}

func TestRead_NamesEachViolation(t *testing.T) {
	for raw, want := range map[string]string{
		"":      "file||holds no objects",
		"a: [1": "document 1||",
		"apiVersion: v1\nkind: Service\nmetadata: {name: a}\nspec: {}":                                        "document 1|apiVersion|must be dunlinwell/v1",
		"apiVersion: dunlinwell/v1\nkind: Pod\nmetadata: {name: a}\nspec: {}":                                 "document 1|kind|\"Pod\" is not known",
		"apiVersion: dunlinwell/v1\nkind: Service\nmetadata: {name: a, labels: {}}\nspec: {}":                 "document 1|metadata.labels|is not known",
		"apiVersion: dunlinwell/v1\nkind: Service\nmetadata: {name: a}\nspec: {}\nstatus: {}":                 "document 1|status|is not known",
		"apiVersion: dunlinwell/v1\nkind: Service\nmetadata: {name: a}\nspec: {replicas: 3}":                  "service/a|replicas|is not known",
		"apiVersion: dunlinwell/v1\nkind: Service\nmetadata: {name: a}\nspec: {tier: 1, tier: 2}":             "document 1||",
		validManifest + "---\napiVersion: dunlinwell/v1\nkind: Cell\nmetadata: {name: c}\nspec: {target: -1}": "cell/c|target|must be from",
		"apiVersion: dunlinwell/v1\nkind: Service\nspec: {}":                                                  "document 1|metadata.name|is missing",
	} {
		t.Run(want, func(t *testing.T) {
			change, violations := Read("x", []byte(raw))
			all := ""
			for _, v := range violations {
				all += v.Item + "|" + v.Path + "|" + v.Reason + "\n"
			}
			if change != nil || !strings.Contains(all, want) {
				t.Errorf("%s: got %q, want %q", raw, all, want)
			}
		})
	}
}
