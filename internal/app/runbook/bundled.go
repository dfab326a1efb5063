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

// BundledNames lists the runbooks that come with the program.
func BundledNames() []string {
	var names []string
	// The folder is part of the binary: it can't fail to be read.
	files, _ := bundledFiles.ReadDir(bundledFolder)
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), fileSuffix))
	}
	return names
}

// ReadBundled gives the text of a bundled runbook.
func ReadBundled(name string) ([]byte, error) {
	raw, err := bundledFiles.ReadFile(bundledFolder + "/" + name + fileSuffix)
	if err != nil {
		return nil, errs.New("find runbook", "", "there is no runbook %q; there are %s", name, strings.Join(BundledNames(), ", "))
	}
	return raw, nil
}
