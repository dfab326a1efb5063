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
	// maxResponse bounds a response, in bytes.
	maxResponse = 64 << 20
	// revisionTimeout bounds the read of the revision for a change's id. The change is
	// sent without it if need be.
	revisionTimeout = time.Second
)

// The headers of a change.
const (
	headerChangeID = "Change-Id"
	headerIfMatch  = "If-Match"
)

// Context is what every command works with: the daemon to call, and how to print.
type Context struct {
	// Address is the HTTP address of any daemon.
	Address string
	// JSON prints answers as they come, in place of lines for people.
	JSON    bool
	Out     io.Writer
	Timeout time.Duration
}

// callHeaders are the optional headers of a change; empty ones aren't sent.
type callHeaders struct {
	// ChangeID identifies the change; without one, Call makes one.
	ChangeID string
	// ExpectedVersion is the version that the item must have.
	ExpectedVersion string
}

// Call makes one API call and gives the body of the answer. An error is an ExitError; the
// body of an answer with an error status comes with it. A change has its id before it is
// sent, so that it can be sent again if its end isn't known.
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
		return nil, &ExitError{ExitIndeterminate, fmt.Sprintf("uncertain: %v; to ask again use --change-id %s", err, changeID)}
	}
	return readResponse(response)
}

// readResponse gives the body of a response, and an error for a status of failure.
func readResponse(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, &ExitError{ExitIndeterminate, "answer cut short: " + err.Error()}
	}
	if code := exitCode(response.StatusCode); code != 0 {
		return raw, &ExitError{code, fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(raw))}
	}
	return raw, nil
}

// newChangeID makes an id for a change. It names the revision that the daemon knows, if
// that can be read at once. A merge needs no id: sent again, it changes nothing.
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

// Print prints an answer as it came with --json, and otherwise by a function that prints
// lines for people.
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

// decodeResponse reads a body as JSON.
func decodeResponse[T any](raw []byte) (T, error) {
	var t T
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, &ExitError{ExitUnreachable, "answer not understood: " + err.Error()}
	}
	return t, nil
}

// readFile reads a file, or standard input for "-".
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
