package testbed

import (
	"os"
	"os/exec"
	"path/filepath"

	"dunlinwell/internal/base/errs"
)

// programs are the daemons and the command line, which a fleet needs.
var programs = []string{proxyRole, registryRole, storeRole, "dunlinwell"}

// Build compiles the programs into a folder. It must run within the module's folder.
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

// ProgramsFolder returns the folder of the programs: the one named, or else that of
// this program if it has all of them, or else the one that they are built into.
func ProgramsFolder(named, built string) (string, error) {
	return chooseBinaries(named, ownFolder(), built, Build)
}

// chooseBinaries is ProgramsFolder with its surroundings. If a program is missing in
// the own folder, all of them are built, because a fleet is of one version.
func chooseBinaries(named, own, built string, build func(bin string) error) (string, error) {
	switch {
	case named != "":
		return named, nil
	case own != "" && hasAllPrograms(own):
		return own, nil
	}
	return built, build(built)
}

// ownFolder is the folder of this program; empty if it is unknown.
func ownFolder() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Dir(self)
}

// hasAllPrograms tells whether a folder has every program as an executable file.
func hasAllPrograms(bin string) bool {
	for _, p := range programs {
		f, err := os.Stat(filepath.Join(bin, p))
		if err != nil || !f.Mode().IsRegular() || f.Mode()&0o111 == 0 {
			return false
		}
	}
	return true
}
