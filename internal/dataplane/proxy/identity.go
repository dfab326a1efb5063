package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// IdentityPath is the path of a target's identity document.
const IdentityPath = "/.well-known/dunlinwell"

const (
	// identityTimeout is the timeout of fetching an identity document. The document is small
	// and cheap to serve, and a client request with a deadline waits for it.
	identityTimeout = time.Second
	// maxIdentityDocument is the maximum size of an identity document, in bytes.
	maxIdentityDocument = 64 << 10
)

// IdentityDocument is a target's description of itself.
type IdentityDocument struct {
	Instance ids.InstanceID `json:"instance"`
	Service  ids.Name       `json:"service"`
	// Leaving is set while the target drains and accepts no new requests.
	Leaving bool `json:"leaving"`
	// Incarnation is optional. If set, it distinguishes the target's run from those before a
	// restart.
	Incarnation ids.Incarnation `json:"incarnation"`
}

// check returns an error unless the document describes the given run of the target and the
// target accepts requests. Clients see the text of the error in HTTP responses.
func (i IdentityDocument) check(t targets.Target) error {
	const step = "check target"
	address := string(t.Address)
	switch {
	case i.Instance != t.Instance || i.Service != t.Service:
		return errs.New(step, address, "it is %s of %s, not %s of %s", i.Instance, i.Service, t.Instance, t.Service)
	case i.Incarnation != 0 && i.Incarnation != t.Incarnation:
		return errs.New(step, address, "it has restarted since it was last heard of")
	case i.Leaving:
		return errs.New(step, address, "it is leaving")
	}
	return nil
}

// verifyIdentity fetches the identity document on a new connection and checks it against the
// target.
func (c *connection) verifyIdentity(t targets.Target, deadline time.Time) error {
	// This fails only on a closed connection, where the following write fails as well.
	_ = c.SetDeadline(earlier(deadline, time.Now().Add(identityTimeout)))
	identity, err := c.fetchIdentity(t.Address)
	if err != nil {
		return err
	}
	return identity.check(t)
}

// fetchIdentity requests the identity document and keeps the connection open.
func (c *connection) fetchIdentity(address ids.Address) (IdentityDocument, error) {
	const step = "ask target"
	peer := string(address)
	var identity IdentityDocument
	request, err := http.NewRequest(http.MethodGet, "http://"+peer+IdentityPath, nil)
	if err != nil {
		return identity, errs.Wrap(err, step, peer)
	}
	if err := request.Write(c.Conn); err != nil {
		return identity, errs.Wrap(err, step, peer)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return identity, errs.Wrap(err, step, peer)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityDocument))
	if err != nil || response.StatusCode != http.StatusOK || response.Close {
		return identity, errs.New(step, peer, "status %d, close %t, %v", response.StatusCode, response.Close, err)
	}
	return identity, errs.Wrap(json.Unmarshal(raw, &identity), "read target's page", peer)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
