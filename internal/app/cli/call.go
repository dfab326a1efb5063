package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"dunlinwell/internal/app/api"
)

const (
	// maxResponse is the maximum size of a response, in bytes.
	maxResponse = 64 << 20
	// revisionTimeout is the timeout for reading the revision that a change ID includes. If
	// the read fails, the change is sent with an ID without a revision.
	revisionTimeout = time.Second
)

// The headers of a change.
const (
	headerChangeID = "Change-Id"
	headerIfMatch  = "If-Match"
)

// Context holds what every command needs: the daemon to call and how to print answers.
type Context struct {
	// Address is the HTTP address of any daemon.
	Address string
	// JSON prints answers as received instead of human-readable lines.
	JSON    bool
	Out     io.Writer
	Timeout time.Duration
}

// callHeaders are the optional headers of a change; empty ones aren't sent.
type callHeaders struct {
	// ChangeID identifies the change. If empty, Call generates one.
	ChangeID string
	// ExpectedVersion is the version that the item must currently have.
	ExpectedVersion string
}

// Call makes one API call and returns the body of the answer. Errors are of type ExitError;
// for an error status, the body is returned as well. A change has an ID before it is sent,
// so that it can be retried if its outcome is unknown.
func (c *Context) Call(method, path string, body []byte, headers callHeaders) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &ExitError{ExitUsage, "--at: " + err.Error()}
	}
	if headers.ExpectedVersion != "" {
		request.Header.Set(headerIfMatch, headers.ExpectedVersion)
	}
	changeID := headers.ChangeID
	if changeID == "" && method != http.MethodGet {
		changeID = c.newChangeID(path)
	}
	if changeID != "" {
		request.Header.Set(headerChangeID, changeID)
	}
	client := http.Client{Timeout: c.Timeout}
	response, err := client.Do(request)
	if err != nil {
		if method == http.MethodGet {
			return nil, &ExitError{ExitUnreachable, "unreachable: " + err.Error()}
		}
		return nil, &ExitError{ExitIndeterminate, fmt.Sprintf("outcome unknown: %v; to retry safely, use --change-id %s", err, changeID)}
	}
	return readResponse(response)
}

// readResponse returns the body of a response, and an error for an error status.
func readResponse(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, &ExitError{ExitIndeterminate, "answer truncated: " + err.Error()}
	}
	if code := exitCode(response.StatusCode); code != 0 {
		return raw, &ExitError{code, fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(raw))}
	}
	return raw, nil
}

// newChangeID returns an ID for a change, which includes the daemon's current revision if it
// can be read within revisionTimeout. A merge is idempotent and needs no revision in its ID.
func (c *Context) newChangeID(path string) string {
	if path == mergePath {
		return api.NewChangeID()
	}
	client := http.Client{Timeout: min(c.Timeout, revisionTimeout)}
	response, err := client.Get("http://" + c.Address + api.RevisionPath)
	if err != nil {
		return api.NewChangeID()
	}
	defer func() { _ = response.Body.Close() }()
	var known api.Revision
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&known) != nil {
		return api.NewChangeID()
	}
	return api.NewChangeIDAt(known.Revision)
}

// Print prints an answer as received with --json, and otherwise calls printLines, which
// prints human-readable lines.
func (c *Context) Print(raw []byte, printLines func() error) error {
	if c.JSON {
		_, err := c.Out.Write(append(bytes.TrimSpace(raw), '\n'))
		return err
	}
	return printLines()
}

// printFailure prints the body of a failed call with --json.
func (c *Context) printFailure(raw []byte) {
	if c.JSON && len(raw) > 0 {
		fmt.Fprintln(c.Out, string(raw))
	}
}

// decodeResponse decodes the JSON body of an answer.
func decodeResponse[T any](raw []byte) (T, error) {
	var t T
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, &ExitError{ExitUnreachable, "invalid answer: " + err.Error()}
	}
	return t, nil
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, &ExitError{ExitUsage, err.Error()}
	}
	return raw, nil
}
