package testbed

import (
	"os"
	"os/exec"
	"path/filepath"

	"dunlinwell/internal/base/errs"
)

// programs are what a fleet needs: its daemons, and the command line.
var programs = []string{"proxy", "registry", "store", "dunlinwell"}

// Build compiles the programs into a folder, from the source folder alone.
func Build(bin string) error {
	args := []string{"build", "-o", bin + "/"}
	for _, p := range programs {
		args = append(args, "dunlinwell/cmd/"+p)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return errs.New("build daemons", "", "%v: %s", err, out)
	}
	return nil
}

// ownFolder is the folder that this program itself stands in; empty if unknown.
func ownFolder() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Dir(self)
}

// chooseBinaries gives the folder of a fleet's programs: the one named, or else the
// one beside us, which needs neither source nor compiler. Only where a program
// is missing there are all of them built: a fleet is of one version.
func chooseBinaries(named, own, built string, build func(bin string) error) (string, error) {
	switch {
	case named != "":
		return named, nil
	case own != "" && hasAllPrograms(own):
		return own, nil
	}
	return built, build(built)
}

// ProgramsFolder gives the folder of the daemons: the one named, or the one beside
// this program, or one that they are built into.
func ProgramsFolder(named, built string) (string, error) {
	return chooseBinaries(named, ownFolder(), built, Build)
}

// hasAllPrograms tells whether a folder holds every program.
func hasAllPrograms(bin string) bool {
	for _, p := range programs {
		f, err := os.Stat(filepath.Join(bin, p))
		if err != nil || !f.Mode().IsRegular() || f.Mode()&0o111 == 0 {
			return false
		}
	}
	return true
}
