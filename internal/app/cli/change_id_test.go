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

// The id of a change says which revision its maker knew; where that can't be
// learnt, the change is sent all the same.
func TestContext_ChangeIDNamesRevision(t *testing.T) {
	is := is.New(t)
	known, id := 200, ""
	at := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == api.RevisionPath {
			w.WriteHeader(known)
			_, _ = io.WriteString(w, `{"revision":4711}`)
			return
		}
		id = r.Header.Get("Change-Id")
		_, _ = io.WriteString(w, `{"id":"x","revision":4712}`)
	}))
	defer at.Close()
	c := &Context{Address: strings.TrimPrefix(at.URL, "http://"), Out: &bytes.Buffer{}, Timeout: time.Second}
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, nil))
	is.True(strings.HasPrefix(id, "at-4711-"))
	first := id
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, nil))
	is.True(id != first)
	known = 404 // a daemon of an earlier release
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, nil))
	is.True(strings.HasPrefix(id, "auto-"))
	is.NoErr(c.submitChange("DELETE", "/v1/services/a", nil, map[string]string{"Change-Id": "own"}))
	is.Equal(id, "own")
}
