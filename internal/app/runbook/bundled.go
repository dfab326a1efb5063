package runbook

import (
	"embed"
	"strings"

	"dunlinwell/internal/base/errs"
)

const (
	bundledFolder = "books"
	fileSuffix    = ".yaml"
)

//go:embed books/*.yaml
var bundledFiles embed.FS

// BundledNames returns the names of the bundled runbooks.
func BundledNames() []string {
	var names []string
	// Reading an embedded folder can't fail.
	files, _ := bundledFiles.ReadDir(bundledFolder)
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), fileSuffix))
	}
	return names
}

// ReadBundled returns the text of a bundled runbook.
func ReadBundled(name string) ([]byte, error) {
	raw, err := bundledFiles.ReadFile(bundledFolder + "/" + name + fileSuffix)
	if err != nil {
		return nil, errs.New("find runbook", "", "no runbook named %q; the bundled runbooks are %s", name, strings.Join(BundledNames(), ", "))
	}
	return raw, nil
}
