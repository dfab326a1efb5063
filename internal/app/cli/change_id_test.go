package cli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/app/api"
)

// A change ID includes the daemon's current revision. If the revision can't be read, the
// change is sent without it.
func TestContext_ChangeIDNamesRevision(t *testing.T) {
	is := is.New(t)
	revisionStatus, changeID := 200, ""
	daemon := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == api.RevisionPath {
			rw.WriteHeader(revisionStatus)
			_, _ = io.WriteString(rw, `{"revision":4711}`)
			return
		}
		changeID = r.Header.Get("Change-Id")
		_, _ = io.WriteString(rw, `{"id":"x","revision":4712}`)
	}))
	defer daemon.Close()
	c := &Context{Address: strings.TrimPrefix(daemon.URL, "http://"), Out: &bytes.Buffer{}, Timeout: time.Second}
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, callHeaders{}))
	is.True(strings.HasPrefix(changeID, "at-4711-"))
	first := changeID
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, callHeaders{}))
	is.True(changeID != first)
	revisionStatus = 404 // a daemon of an earlier release
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, callHeaders{}))
	is.True(strings.HasPrefix(changeID, "auto-"))
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, callHeaders{ChangeID: "own"}))
	is.Equal(changeID, "own")
}
