package storage

import (
	"errors"
	"fmt"
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
