package testbed

import (
	"os"
	"os/exec"
	"path/filepath"

	"dunlinwell/internal/base/errs"
)

// programs lists the executables that a fleet needs: the daemons and the command-line tool.
var programs = []string{proxyRole, registryRole, storeRole, "dunlinwell"}

// Build compiles the programs into a directory. The working directory must be within the module.
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

// ProgramsDir returns the directory of the programs: explicitDir if it is set, or else
// the directory of this executable if it contains all of them, or else buildDir, into
// which it builds them.
func ProgramsDir(explicitDir, buildDir string) (string, error) {
	return chooseProgramsDir(explicitDir, executableDir(), buildDir, Build)
}

// chooseProgramsDir implements ProgramsDir. If any program is missing in executableDir,
// it builds all of them, so that the fleet doesn't mix versions.
func chooseProgramsDir(explicitDir, executableDir, buildDir string, build func(bin string) error) (string, error) {
	switch {
	case explicitDir != "":
		return explicitDir, nil
	case executableDir != "" && hasAllPrograms(executableDir):
		return executableDir, nil
	}
	return buildDir, build(buildDir)
}

// executableDir returns the directory of this executable; empty if it is unknown.
func executableDir() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Dir(self)
}

// hasAllPrograms reports whether a directory contains every program as an executable file.
func hasAllPrograms(bin string) bool {
	for _, p := range programs {
		f, err := os.Stat(filepath.Join(bin, p))
		if err != nil || !f.Mode().IsRegular() || f.Mode()&0o111 == 0 {
			return false
		}
	}
	return true
}
