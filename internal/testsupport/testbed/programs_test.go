package testbed

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// The programs are those of the named folder, or of the own folder if that has all
// of them; only otherwise they are built.
func TestChooseBinaries_PrefersNamedThenOwnFolder(t *testing.T) {
	put := func(t *testing.T, bin, name string, mode os.FileMode) {
		is.New(t).NoErr(os.WriteFile(filepath.Join(bin, name), nil, mode))
	}
	for name, c := range map[string]struct {
		named string
		spoil func(t *testing.T, bin string)
		want  string // empty for the folder beside
	}{
		"all beside":           {},
		"named":                {named: "other", want: "other"},
		"one missing":          {want: "built", spoil: func(t *testing.T, bin string) { is.New(t).NoErr(os.Remove(filepath.Join(bin, "registry"))) }},
		"command line missing": {want: "built", spoil: func(t *testing.T, bin string) { is.New(t).NoErr(os.Remove(filepath.Join(bin, "dunlinwell"))) }},
		"one can't be run": {want: "built", spoil: func(t *testing.T, bin string) {
			is.New(t).NoErr(os.Chmod(filepath.Join(bin, "proxy"), 0o644))
		}},
		"one is a folder": {want: "built", spoil: func(t *testing.T, bin string) {
			is.New(t).NoErr(os.Remove(filepath.Join(bin, "store")))
			is.New(t).NoErr(os.Mkdir(filepath.Join(bin, "store"), 0o755))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bin := t.TempDir()
			for _, p := range programs {
				put(t, bin, p, 0o755)
			}
			if c.spoil != nil {
				c.spoil(t, bin)
			}
			want, builds := c.want, 0
			if want == "" {
				want = bin
			}
			got, err := chooseBinaries(c.named, bin, "built", func(string) error { builds++; return nil })
			is.NoErr(err)
			is.Equal(got, want)
			is.Equal(builds == 1, want == "built") // built only as the last resort
		})
	}
}

// If the own folder is unknown, the programs are built; the error of a failed build
// is returned.
func TestChooseBinaries_ReportsFailedBuild(t *testing.T) {
	is := is.New(t)
	broken := errors.New("no source")
	_, err := chooseBinaries("", "", "built", func(string) error { return broken })
	is.True(errors.Is(err, broken))
}
