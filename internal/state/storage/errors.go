package storage

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"github.com/mattn/go-sqlite3"
)

// ErrLocked is returned by Open if another process has locked the data directory.
var ErrLocked = errors.New("locked by another process")

// NewerFormatError is returned by Open for a database in a newer format than this version
// supports. The database is not modified.
type NewerFormatError struct {
	// Found is the format of the database.
	Found int
}

// Error returns a message with both formats.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("open database: format %d is newer than the supported format %d; the database was not modified", e.Found, FormatVersion)
}

// IntegrityError is the Database.DamageCause if SQLite's integrity check found the database
// damaged.
type IntegrityError struct {
	// Report is the first fault that the check found.
	Report string
}

// Error returns the report.
func (e *IntegrityError) Error() string { return e.Report }

// ErrUnreadablePage is returned by Open if SQLite's integrity check failed to read a page for a
// reason other than damage, such as an I/O error.
var ErrUnreadablePage = errors.New("database page can't be read")

// pageErrorCode matches the result code of a failed read in a report of SQLite's integrity check.
var pageErrorCode = regexp.MustCompile(`error code=(\d+)`)

// isUnreadablePage reports whether an integrity report is about a failed read that is no evidence
// of damage.
func isUnreadablePage(report string) bool {
	match := pageErrorCode.FindStringSubmatch(report)
	if match == nil {
		return false
	}
	code, err := strconv.Atoi(match[1])
	return err == nil && !isDamageCode(sqlite3.ErrNo(code&primaryCodeMask))
}

// primaryCodeMask extracts the primary result code from an extended one of SQLite.
const primaryCodeMask = 0xff

// isDamageCode reports whether a primary result code of SQLite means that the file's content is
// damaged. All other codes are about the disk, this process or other processes, and may be
// transient.
func isDamageCode(code sqlite3.ErrNo) bool {
	return code == sqlite3.ErrCorrupt || code == sqlite3.ErrNotADB
}

// isDamage reports whether an error from opening a database shows that its content is damaged.
// Setting a database aside for any other error would lose intact records.
func isDamage(err error) bool {
	var integrity *IntegrityError
	var failure sqlite3.Error
	return errors.As(err, &integrity) || errors.As(err, &failure) && isDamageCode(failure.Code)
}
