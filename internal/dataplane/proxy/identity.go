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

// IdentityPath is where a target serves its identity document.
const IdentityPath = "/.well-known/dunlinwell"

const (
	// identityTimeout bounds the reading of an identity document: it is small and needs
	// no work of the target, and the request that waits for it has a deadline.
	identityTimeout = time.Second
	// maxIdentityDocument bounds its size, in bytes.
	maxIdentityDocument = 64 << 10
)

// IdentityDocument is what a target says of itself.
type IdentityDocument struct {
	Instance ids.InstanceID `json:"instance"`
	Service  ids.Name       `json:"service"`
	// Leaving: the target is draining and takes no new requests.
	Leaving bool `json:"leaving"`
	// Incarnation may be left out. A target that states it is never taken for its own
	// run before a restart.
	Incarnation ids.Incarnation `json:"incarnation"`
}

// check returns an error unless the document is that of the target, in the same run, and
// the target takes requests.
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

// verifyIdentity asks the target on a new connection who it is.
func (c *connection) verifyIdentity(t targets.Target, deadline time.Time) error {
	// It fails only on a closed connection, as the write that follows does.
	_ = c.SetDeadline(earlier(deadline, time.Now().Add(identityTimeout)))
	identity, err := c.fetchIdentity(t.Address)
	if err != nil {
		return err
	}
	return identity.check(t)
}

// fetchIdentity reads the identity document. The connection stays open after it.
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
