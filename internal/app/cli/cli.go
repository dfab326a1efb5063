// Package clerk is the operators' command line: it talks to any daemon over
// HTTP and says with its exit code how a call ended.
package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"dunlinwell/internal/app/api"
)

// How a call ended, as exit codes.
const (
	ExitUsage           = 2
	ExitRejected        = 3
	ExitVersionConflict = 4
	ExitUnreachable     = 5
	ExitIndeterminate   = 6
)

// Context is what every command works with.
type Context struct {
	Address string
	JSON    bool
	Out     io.Writer
	Timeout time.Duration
}

// ExitError is an error that carries its exit code.
type ExitError struct {
	Code   int
	Reason string
}

// Error gives the problem as the caller reads it.
func (e *ExitError) Error() string { return e.Reason }

func exitCode(status int) int {
	switch {
	case status == http.StatusConflict:
		return ExitVersionConflict
	case status == http.StatusGatewayTimeout:
		return ExitIndeterminate
	case status >= 500:
		return ExitUnreachable
	case status >= 400:
		return ExitRejected
	}
	return 0
}

// Call sends one call and gives the body of a good answer. A change has its id
// before it leaves, so that it can be sent again after an uncertain end.
func (c *Context) Call(method, path string, body []byte, head map[string]string) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &ExitError{ExitUsage, "--at: " + err.Error()}
	}
	for k, v := range head {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	id := req.Header.Get("Change-Id")
	if id == "" && method != http.MethodGet {
		id = c.newChangeID(path)
		req.Header.Set("Change-Id", id)
	}
	client := http.Client{Timeout: c.Timeout}
	res, err := client.Do(req)
	if err != nil {
		if method == http.MethodGet {
			return nil, &ExitError{ExitUnreachable, "unreachable: " + err.Error()}
		}
		return nil, &ExitError{ExitIndeterminate, fmt.Sprintf("uncertain: %v; to ask again use --change-id %s", err, id)}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
		return nil, &ExitError{ExitIndeterminate, "answer cut short: " + err.Error()}
	}
	if n := exitCode(res.StatusCode); n != 0 {
		return raw, &ExitError{n, fmt.Sprintf("status %d: %s", res.StatusCode, bytes.TrimSpace(raw))}
	}
	return raw, nil
}

// revisionWait bounds how long the revision for a change's id is waited for.
const revisionWait = time.Second

// newChangeID makes an id for a change. It says the revision that the daemon knows,
// if it can be learnt at once. A merging needs no id that lasts.
func (c *Context) newChangeID(path string) string {
	if path == mergePath {
		return api.NewChangeID()
	}
	client := http.Client{Timeout: min(c.Timeout, revisionWait)}
	res, err := client.Get("http://" + c.Address + api.RevisionPath)
	if err != nil {
		return api.NewChangeID()
	}
	defer res.Body.Close()
	var known api.Revision
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&known) != nil {
		return api.NewChangeID()
	}
	return api.NewChangeIDAt(known.Revision)
}

// Print prints an answer as it came, or in lines that a person can read.
func (c *Context) Print(raw []byte, lines func() error) error {
	if c.JSON {
		_, err := c.Out.Write(append(bytes.TrimSpace(raw), '\n'))
		return err
	}
	return lines()
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

func formatVersion(n *uint64) string {
	if n == nil {
		return ""
	}
	return strconv.FormatUint(*n, 10)
}

func decodeResponse[T any](raw []byte) (T, error) {
	var t T
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, &ExitError{ExitUnreachable, "answer not understood: " + err.Error()}
	}
	return t, nil
}
