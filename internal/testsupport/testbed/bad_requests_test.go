package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// badRequest is a raw request with the expected response.
type badRequest struct {
	name string
	raw  string
	// want is the status code; 0 if the connection is closed without a response.
	want int
	// bodyContains must occur in the body.
	bodyContains string
}

// rawRequest returns a well-formed HTTP request with "Connection: close".
func rawRequest(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s", method, path, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// badControlRequests returns invalid calls of the control API, which every daemon serves.
func badControlRequests() []badRequest {
	change := func(parts string) string {
		return rawRequest("POST", "/v1/change", `{"id":"odd-1","changes":[`+parts+`]}`)
	}
	deep := strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000)
	return []badRequest{
		{"duplicate key", change(`{"kind":"service","name":"odd","put":{"tier":1,"tier":2}}`), 400, "changes.0.put.tier"},
		{"duplicate key of an item", change(`{"kind":"service","kind":"route","name":"odd","put":{}}`), 400, "changes.0.kind"},
		{"huge number", change(`{"kind":"service","name":"odd","put":{"tier":1e400}}`), 400, "tier"},
		{"long number", change(`{"kind":"service","name":"odd","put":{"capacity":` + strings.Repeat("9", 400) + `}}`), 400, "capacity"},
		{"negative version", change(`{"kind":"service","name":"odd","version":-1,"put":{}}`), 400, "version"},
		{"huge version", change(`{"kind":"service","name":"odd","version":99999999999999999999,"put":{}}`), 400, "version"},
		{"deep nesting", change(`{"kind":"cell","name":"odd","put":{"distances":` + deep + `}}`), 400, "distances"},
		{"deeply nested body", rawRequest("POST", "/v1/change", strings.Repeat("[", 100000)), 400, "not valid JSON"},
		{"control characters in a name", change(`{"kind":"service","name":"o\u0000dd","put":{}}`), 400, "name"},
		{"non-ASCII name", change(`{"kind":"service","name":"ödd","put":{}}`), 400, "name"},
		{"name too long", change(`{"kind":"service","name":"` + strings.Repeat("a", 64) + `","put":{}}`), 400, "name"},
		{"not UTF-8", change("{\"kind\":\"service\",\"name\":\"o\xff\",\"put\":{}}"), 400, "name"},
		{"partly invalid change", change(`{"kind":"service","name":"odd","put":{}},{"kind":"route","name":"odd","put":{"prefix":"/odd","service":"odd"}}`), 400, "repeatable"},
		{"reserved prefix", change(`{"kind":"route","name":"odd","put":{"prefix":"/metrics","service":"catalog","repeatable":true}}`), 400, "prefix"},
		{"not JSON", rawRequest("PUT", "/v1/services/odd", "tier=1"), 400, "not valid JSON"},
		{"two documents", rawRequest("PUT", "/v1/services/odd", `{}{}`), 400, "not valid JSON"},
		{"null", rawRequest("PUT", "/v1/services/odd", `null`), 400, "must be an object"},
		{"no body", rawRequest("PUT", "/v1/services/odd", ""), 400, "not valid JSON"},
		{"invalid change id", rawRequest("PUT", "/v1/services/odd", `{}`, "Change-Id: a b"), 400, "id"},
		{"invalid If-Match", rawRequest("PUT", "/v1/services/odd", `{}`, "If-Match: *"), 400, "If-Match"},
		{"escaped name", rawRequest("PUT", "/v1/services/..%2fodd", `{}`), 400, "name"},
		{"stale version", rawRequest("PUT", "/v1/services/catalog", `{}`, "If-Match: 999999"), 409, "stale"},
		{"missing item", rawRequest("DELETE", "/v1/services/odd", ""), 404, "missing"},
		{"item in use", rawRequest("DELETE", "/v1/services/catalog", ""), 400, "service"},
		{"unknown kind", rawRequest("GET", "/v1/shops", ""), 404, "/v1/shops"},
		{"unknown path", rawRequest("POST", "/v1/where/else", ""), 405, ""},
		{"wrong method", rawRequest("PATCH", "/v1/services/odd", `{}`), 405, ""},
		{"wrong method on a change", rawRequest("GET", "/v1/change", ""), 404, ""},
		{"resolution without a zone", rawRequest("GET", "/v1/where?route=stock", ""), 400, "cell"},
		{"resolution of an unknown route", rawRequest("GET", "/v1/where?route=none&cell=cell-a1", ""), 404, "none"},
		{"body too large", rawRequest("POST", "/v1/change", strings.Repeat(" ", 2<<20)), 413, "limit"},
		{"heartbeat without an address", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","incarnation":1,"sequence":1}`), 400, "address"},
		{"heartbeat with a host name", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","address":"localhost:1","incarnation":1,"sequence":1}`), 400, "address"},
		{"duplicate key of a heartbeat", rawRequest("POST", "/v1/announce", `{"instance":"x","instance":"y","service":"catalog","cell":"c","address":"127.0.0.1:1","incarnation":1,"sequence":1}`), 400, "instance"},
		{"warmth out of range", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","address":"127.0.0.1:1","incarnation":1,"sequence":1,"warmth":1.5}`), 400, "warmth"},
		{"oversized header", rawRequest("GET", "/v1/policy", "", "X: "+strings.Repeat("a", 128<<10)), 431, ""},
		{"not HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", 400, ""},
	}
}

// badClientRequests returns invalid and unusual client requests, which only proxies serve.
func badClientRequests() []badRequest {
	order := func(head ...string) string { return rawRequest("POST", "/orders/item", `{}`, head...) }
	return []badRequest{
		{"missing idempotency key", order(), 400, "Idempotency-Key"},
		{"empty idempotency key", order("Idempotency-Key: "), 400, "Idempotency-Key"},
		{"idempotency key with a space", order("Idempotency-Key: a b"), 400, "Idempotency-Key"},
		{"idempotency key too long", order("Idempotency-Key: " + strings.Repeat("m", 257)), 400, "Idempotency-Key"},
		{"two idempotency keys", order("Idempotency-Key: odd-a", "Idempotency-Key: odd-b"), 400, "Idempotency-Key"},
		{"zero Attempt", order("Idempotency-Key: odd-1", "Attempt: 0"), 400, "Attempt"},
		{"two Attempt headers", order("Idempotency-Key: odd-1", "Attempt: 1", "Attempt: 2"), 400, "Attempt"},
		{"negative Attempt", order("Idempotency-Key: odd-1", "Attempt: -1"), 400, "Attempt"},
		{"huge Attempt", order("Idempotency-Key: odd-1", "Attempt: 99999999999"), 400, "Attempt"},
		{"non-numeric Time-Left", rawRequest("GET", "/stock/item", "", "Time-Left: soon"), 400, "Time-Left"},
		{"negative Time-Left", rawRequest("GET", "/stock/item", "", "Time-Left: -5"), 400, "Time-Left"},
		{"zero Time-Left", rawRequest("GET", "/stock/item", "", "Time-Left: 0"), 503, "declined"},
		{"unknown route", rawRequest("GET", "/nowhere/item", ""), 404, "route"},
		{"prefix matches only part of a path segment", rawRequest("GET", "/stocking/item", ""), 404, "route"},
		{"body too large", rawRequest("POST", "/orders/item", strings.Repeat("x", 2<<20), "Idempotency-Key: odd-2"), 413, "limit"},
		{"two Content-Length headers", "POST /orders/item HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\nIdempotency-Key: odd-3\r\n\r\n{}", 400, ""},
		{"invalid chunk size", "POST /orders/item HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-4\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n{}\r\n0\r\n\r\n", 400, "body"},
		{"Upgrade header", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Upgrade: websocket"), 200, ""},
		{"HEAD", rawRequest("HEAD", "/stock/item?token=odd&service=catalog", ""), 200, ""},
		{"Expect header", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Expect: 100-continue"), 200, ""},
		{"unknown expectation", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Expect: the moon"), 417, ""},
		{"chunked body", "POST /orders/item?token=oddc&service=ledger HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-5\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200, ""},
		{"missing Host header", "GET /stock/item HTTP/1.1\r\nConnection: close\r\n\r\n", 400, ""},
		{"truncated body", "POST /orders/item HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-6\r\nContent-Length: 50\r\n\r\n{", 400, "body"},
	}
}

// sendRaw sends a raw request, closes the sending side, and reads one response. It returns
// status 0 if there is none.
func sendRaw(t *testing.T, address string, r badRequest) (int, string) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		_, _ = io.WriteString(connection, r.raw)
		_ = connection.(*net.TCPConn).CloseWrite()
	}()
	method, _, _ := strings.Cut(r.raw, " ")
	req, _ := http.NewRequest(method, "http://x/", nil)
	reader := bufio.NewReader(connection)
	res, err := http.ReadResponse(reader, req)
	for err == nil && res.StatusCode == http.StatusContinue {
		res, err = http.ReadResponse(reader, req)
	}
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

// checkBadRequests sends the requests of both tables to one daemon of each role that serves
// them, and checks the responses, and that the configuration doesn't change.
func checkBadRequests(t *testing.T, tb *Testbed) {
	is := is.New(t)
	before := call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body
	check := func(at, role string, requests []badRequest) {
		for _, r := range requests {
			if status, body := sendRaw(t, at, r); status != r.want || !strings.Contains(body, r.bodyContains) {
				t.Errorf("%s at the %s: got status %d, want %d with %q: %.200s", r.name, role, status, r.want, r.bodyContains, body)
			}
		}
	}
	for _, role := range []string{"proxy", "registry", "store"} {
		check(tb.ProcessesOf(role)[0].HTTP, role, badControlRequests())
	}
	check(tb.ProcessesOf("proxy")[0].HTTP, "proxy", badClientRequests())
	is.Equal(call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body, before)
}
