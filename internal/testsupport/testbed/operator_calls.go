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
	// resendTimeout bounds how long a change is sent again under its id; beyond it
	// its outcome stays unknown.
	resendTimeout = 40 * time.Second
	// resendPause is the pause between two attempts of a change.
	resendPause = 100 * time.Millisecond
	// giveUpOneIn: one of so many operators gives up a change that was surely not accepted.
	giveUpOneIn = 3
)

// changeResponse is the body of a successful response to a change.
type changeResponse struct {
	Revision uint64 `json:"revision"`
}

// postChange sends a change to one daemon. The body is read whole; an error
// leaves open whether the change was accepted.
func postChange(p *Process, change string) (status int, body []byte, err error) {
	res, err := clientFrom(operatorAddress(), operatorTimeout).Post("http://"+p.HTTP+"/v1/change", "application/json", strings.NewReader(change))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// send sends a change to one daemon after another until its outcome is known, and
// reports it to the checker. It returns the revision; 0 if the change was rejected
// or its outcome stayed unknown. With mayGiveUp it may give up a change of
// which daemons said that it wasn't accepted.
func (o *Operators) send(change string, mayGiveUp bool) uint64 {
	id := o.Checker.ChangeSent([]byte(change), time.Now())
	surelyNotAccepted := true
	for deadline := time.Now().Add(resendTimeout); time.Now().Before(deadline); time.Sleep(resendPause) {
		p, ok := o.randomProcess()
		if !ok {
			continue
		}
		status, body, err := postChange(p, change)
		if err != nil {
			surelyNotAccepted = false
			continue
		}
		var accepted changeResponse
		decodeErr := json.Unmarshal(body, &accepted)
		switch {
		case status == http.StatusOK && decodeErr == nil:
			o.Checker.ChangeAccepted(id, accepted.Revision, time.Now())
			return accepted.Revision
		case status == http.StatusBadRequest:
			o.Checker.Violation("%s was declined by %s: %s", id, p.Name, body)
			o.Checker.ChangeRejected(id)
			return 0
		case status == http.StatusNotFound || status == http.StatusConflict:
			o.Checker.ChangeRejected(id)
			return 0
		case status == http.StatusServiceUnavailable:
			// If no attempt had another outcome, the change must never show.
			if surelyNotAccepted && mayGiveUp && rand.IntN(giveUpOneIn) == 0 {
				o.Checker.ChangeRejected(id)
				return 0
			}
		default:
			surelyNotAccepted = false
		}
	}
	return 0
}

// sendInvalid sends a change that no daemon may accept.
func (o *Operators) sendInvalid(change string) {
	id := o.Checker.ChangeSent([]byte(change), time.Now())
	o.Checker.ChangeRejected(id)
	p, ok := o.randomProcess()
	if !ok {
		return
	}
	if status, _, _ := postChange(p, change); status == http.StatusOK {
		o.Checker.Violation("%s was accepted by %s", id, p.Name)
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
		err = errs.New("read policy", p.Name, "status %d", res.StatusCode)
	}
	if err != nil {
		return checker.Configuration{}, err
	}
	return checker.ParseConfiguration(raw)
}
