package testbed

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// operatorTimeout bounds each call of an operator.
	operatorTimeout = 4 * time.Second
	// resendTimeout bounds the retries of a change with the same id; after that its
	// outcome remains unknown.
	resendTimeout = 40 * time.Second
	// resendPause is the pause between two attempts of a change.
	resendPause = 100 * time.Millisecond
	// abandonOneIn is the inverse of the probability that an operator abandons a change
	// that was definitely not applied.
	abandonOneIn = 3
)

// changeResponse is the body of a successful response to a change.
type changeResponse struct {
	Revision uint64 `json:"revision"`
}

// postChange sends a change to one daemon and reads the whole response. After an error
// it is unknown whether the change was accepted.
func postChange(p *Process, change string) (status int, body []byte, err error) {
	res, err := clientFrom(operatorAddress(), operatorTimeout).Post("http://"+p.HTTP+"/v1/change", "application/json", strings.NewReader(change))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// send sends a change to random daemons until its outcome is known, and reports the
// outcome to the checker. It returns the revision, or 0 if the change was rejected or
// its outcome remains unknown. With mayAbandon, it may stop retrying a change that all
// daemons so far reported as not accepted.
func (o *Operators) send(change string, mayAbandon bool) uint64 {
	id := o.Checker.ChangeSent([]byte(change), time.Now())
	definitelyNotApplied := true
	for deadline := time.Now().Add(resendTimeout); time.Now().Before(deadline); time.Sleep(resendPause) {
		p, ok := o.randomProcess()
		if !ok {
			continue
		}
		status, body, err := postChange(p, change)
		if err != nil {
			definitelyNotApplied = false
			continue
		}
		var accepted changeResponse
		decodeErr := json.Unmarshal(body, &accepted)
		switch {
		case status == http.StatusOK && decodeErr == nil:
			o.Checker.ChangeAccepted(id, accepted.Revision, time.Now())
			return accepted.Revision
		case status == http.StatusBadRequest:
			o.Checker.Violation("change %s was rejected by %s: %s", id, p.Name, body)
			o.Checker.ChangeRejected(id)
			return 0
		case status == http.StatusNotFound || status == http.StatusConflict:
			o.Checker.ChangeRejected(id)
			return 0
		case status == http.StatusServiceUnavailable:
			// If every attempt was refused like this one, the change must never take effect.
			if definitelyNotApplied && mayAbandon && rand.IntN(abandonOneIn) == 0 {
				o.Checker.ChangeRejected(id)
				return 0
			}
		default:
			definitelyNotApplied = false
		}
	}
	return 0
}

// sendInvalid sends a change that every daemon must reject.
func (o *Operators) sendInvalid(change string) {
	id := o.Checker.ChangeSent([]byte(change), time.Now())
	o.Checker.ChangeRejected(id)
	p, ok := o.randomProcess()
	if !ok {
		return
	}
	if status, _, _ := postChange(p, change); status == http.StatusOK {
		o.Checker.Violation("invalid change %s was accepted by %s", id, p.Name)
	}
}

// readConfiguration reads the configuration through one daemon.
func (o *Operators) readConfiguration(p *Process) (checker.Configuration, error) {
	res, err := clientFrom(operatorAddress(), operatorTimeout).Get("http://" + p.HTTP + "/v1/policy")
	if err != nil {
		return checker.Configuration{}, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errs.New("read configuration", p.Name, "HTTP status %d", res.StatusCode)
	}
	if err != nil {
		return checker.Configuration{}, err
	}
	return checker.ParseConfiguration(raw)
}
