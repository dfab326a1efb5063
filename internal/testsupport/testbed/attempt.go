package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// uri returns the request's path and query. The query tells the target the request's
// token and the service that it is intended for.
func (r request) uri() string {
	return fmt.Sprintf("%s/item?token=%s&service=%s", r.route.Prefix, r.token, r.route.Service)
}

// httpRequest returns the HTTP request for one attempt at a proxy.
func (r request) httpRequest(ctx context.Context, proxy string, attempt int) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if !r.route.Repeatable {
		method, body = http.MethodPost, `{"for":"`+r.token+`"}`
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+proxy+r.uri(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't retry a request on its own, which would be an
	// attempt that isn't counted.
	req.GetBody = nil
	req.Header.Set("Time-Left", strconv.Itoa(int(attemptTimeout.Milliseconds())))
	req.Header.Set("Attempt", strconv.Itoa(attempt))
	if r.idempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{r.idempotencyKey}
	}
	return req, nil
}

// sendAttempt sends one attempt to a proxy. It also reports whether the proxy closes the
// connection after this response.
func (c *Clients) sendAttempt(ctx context.Context, client *http.Client, r request, proxy string, zone ids.Name, attempt int) (response checker.ClientResponse, closes bool) {
	response = checker.ClientResponse{
		Sent: time.Now(), Token: r.token, IdempotencyKey: r.idempotencyKey, Attempt: attempt,
		Class: classLost, Proxy: proxy, Zone: zone,
	}
	defer func() { response.At = time.Now() }()
	req, err := r.httpRequest(ctx, proxy, attempt)
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	res, err := client.Do(req)
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	response.Status, response.Class, response.Body = res.StatusCode, res.Header.Get("Dunlinwell-Class"), string(body)
	if response.Class == classAnswered {
		response.Problem = checkAnswer(body, r.uri(), r.idempotencyKey)
	}
	return response, res.Close
}

// targetAnswer is the body of a stand-in target's response.
type targetAnswer struct {
	URI            string `json:"uri"`
	IdempotencyKey string `json:"mark"`
}

// checkAnswer checks that a response body answers the given request. It returns a
// description of the mismatch, or an empty string.
func checkAnswer(body []byte, uri, idempotencyKey string) string {
	var answer targetAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "body is not a target's response: " + err.Error()
	}
	want, err := url.Parse(uri)
	if err != nil {
		return "invalid request URI: " + err.Error()
	}
	got, err := url.Parse(answer.URI)
	if err != nil || got.RequestURI() != want.RequestURI() || answer.IdempotencyKey != idempotencyKey {
		return fmt.Sprintf("response to %s with idempotency key %q", answer.URI, answer.IdempotencyKey)
	}
	return ""
}
