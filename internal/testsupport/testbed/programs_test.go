package testbed

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// The programs come from the explicit directory, or else from the executable's directory
// if that contains all of them; only otherwise are they built.
func TestChooseBinaries_PrefersNamedThenOwnFolder(t *testing.T) {
	writeProgram := func(t *testing.T, bin, name string, mode os.FileMode) {
		is.New(t).NoErr(os.WriteFile(filepath.Join(bin, name), nil, mode))
	}
	for name, c := range map[string]struct {
		explicitDir string
		damage      func(t *testing.T, bin string)
		want        string // empty for the executable's directory
	}{
		"all next to executable":    {},
		"explicit":                  {explicitDir: "other", want: "other"},
		"daemon missing":            {want: "built", damage: func(t *testing.T, bin string) { is.New(t).NoErr(os.Remove(filepath.Join(bin, "registry"))) }},
		"command-line tool missing": {want: "built", damage: func(t *testing.T, bin string) { is.New(t).NoErr(os.Remove(filepath.Join(bin, "dunlinwell"))) }},
		"not executable": {want: "built", damage: func(t *testing.T, bin string) {
			is.New(t).NoErr(os.Chmod(filepath.Join(bin, "proxy"), 0o644))
		}},
		"directory instead of program": {want: "built", damage: func(t *testing.T, bin string) {
			is.New(t).NoErr(os.Remove(filepath.Join(bin, "store")))
			is.New(t).NoErr(os.Mkdir(filepath.Join(bin, "store"), 0o755))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bin := t.TempDir()
			for _, p := range programs {
				writeProgram(t, bin, p, 0o755)
			}
			if c.damage != nil {
				c.damage(t, bin)
			}
			want, builds := c.want, 0
			if want == "" {
				want = bin
			}
			got, err := chooseProgramsDir(c.explicitDir, bin, "built", func(string) error { builds++; return nil })
			is.NoErr(err)
			is.Equal(got, want)
			is.Equal(builds == 1, want == "built") // built only if there is no other directory
		})
	}
}

// If the executable's directory is unknown, the programs are built. The error of a failed
// build is returned.
func TestChooseBinaries_ReportsFailedBuild(t *testing.T) {
	is := is.New(t)
	buildErr := errors.New("build failed")
	_, err := chooseProgramsDir("", "", "built", func(string) error { return buildErr })
	is.True(errors.Is(err, buildErr))
}
