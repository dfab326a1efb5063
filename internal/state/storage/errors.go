package storage

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"github.com/mattn/go-sqlite3"
)

// ErrLocked is returned by Open when another process holds the data folder.
var ErrLocked = errors.New("another process holds it")

// NewerFormatError is returned by Open for a database that a later version has
// written. The database was not touched.
type NewerFormatError struct {
	// Found is the format of the database.
	Found int
}

// Error names both formats.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("open database: its format %d is newer than %d; it was not touched", e.Found, Format)
}

// IntegrityError is the Database.DamageCause of a database that SQLite's own check has
// found damaged.
type IntegrityError struct {
	// Report is the first fault that the check has found.
	Report string
}

// Error gives the report.
func (e *IntegrityError) Error() string { return e.Report }

// ErrUnreadablePage is returned by Open for a database of which SQLite's check couldn't read
// a page, for another reason than that the page is damaged.
var ErrUnreadablePage = errors.New("a page can't be read now")

// pageErrorCode is how a report of SQLite's check names the code of a failed read.
var pageErrorCode = regexp.MustCompile(`error code=(\d+)`)

// isUnreadablePage tells whether a report is about a failed read that says nothing of what
// is on the disk.
func isUnreadablePage(report string) bool {
	match := pageErrorCode.FindStringSubmatch(report)
	if match == nil {
		return false
	}
	code, err := strconv.Atoi(match[1])
	return err == nil && !isDamageCode(sqlite3.ErrNo(code&primaryCodeMask))
}

// primaryCodeMask takes the primary code out of SQLite's extended one.
const primaryCodeMask = 0xff

// isDamageCode tells whether a primary code of SQLite says that the file's content is wrong.
// All others are about the disk, the process or other processes, and may pass.
func isDamageCode(code sqlite3.ErrNo) bool {
	return code == sqlite3.ErrCorrupt || code == sqlite3.ErrNotADB
}

// isDamage tells whether an error of opening a database shows that its content is damaged.
// Only that is evidence of a loss; setting a database aside for any other error would be one.
func isDamage(err error) bool {
	var integrity *IntegrityError
	var failure sqlite3.Error
	return errors.As(err, &integrity) || errors.As(err, &failure) && isDamageCode(failure.Code)
}
