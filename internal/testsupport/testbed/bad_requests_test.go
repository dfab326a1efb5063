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

// badRequest is a request as bytes, and the response that every kind of daemon gives.
type badRequest struct {
	name string
	raw  string
	// want is the status; 0 for a connection that is closed without one.
	want int
	// bodyContains must stand in the body.
	bodyContains string
}

// rawRequest is a well-formed HTTP request that closes its connection.
func rawRequest(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s", method, path, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// badControlRequests are invalid calls of the control API, which any daemon serves.
func badControlRequests() []badRequest {
	change := func(parts string) string {
		return rawRequest("POST", "/v1/change", `{"id":"odd-1","changes":[`+parts+`]}`)
	}
	deep := strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000)
	return []badRequest{
		{"doubled key", change(`{"kind":"service","name":"odd","put":{"tier":1,"tier":2}}`), 400, "changes.0.put.tier"},
		{"doubled part key", change(`{"kind":"service","kind":"route","name":"odd","put":{}}`), 400, "changes.0.kind"},
		{"huge number", change(`{"kind":"service","name":"odd","put":{"tier":1e400}}`), 400, "tier"},
		{"long number", change(`{"kind":"service","name":"odd","put":{"capacity":` + strings.Repeat("9", 400) + `}}`), 400, "capacity"},
		{"negative version", change(`{"kind":"service","name":"odd","version":-1,"put":{}}`), 400, "version"},
		{"huge version", change(`{"kind":"service","name":"odd","version":99999999999999999999,"put":{}}`), 400, "version"},
		{"deep nesting", change(`{"kind":"cell","name":"odd","put":{"distances":` + deep + `}}`), 400, "distances"},
		{"deep body", rawRequest("POST", "/v1/change", strings.Repeat("[", 100000)), 400, "not valid JSON"},
		{"control characters in a name", change(`{"kind":"service","name":"o\u0000dd","put":{}}`), 400, "name"},
		{"a name of another script", change(`{"kind":"service","name":"ödd","put":{}}`), 400, "name"},
		{"a name too long", change(`{"kind":"service","name":"` + strings.Repeat("a", 64) + `","put":{}}`), 400, "name"},
		{"not UTF-8", change("{\"kind\":\"service\",\"name\":\"o\xff\",\"put\":{}}"), 400, "name"},
		{"half a change", change(`{"kind":"service","name":"odd","put":{}},{"kind":"route","name":"odd","put":{"prefix":"/odd","service":"odd"}}`), 400, "repeatable"},
		{"a prefix of the daemons' own", change(`{"kind":"route","name":"odd","put":{"prefix":"/metrics","service":"catalog","repeatable":true}}`), 400, "prefix"},
		{"not JSON", rawRequest("PUT", "/v1/services/odd", "tier=1"), 400, "not valid JSON"},
		{"two documents", rawRequest("PUT", "/v1/services/odd", `{}{}`), 400, "not valid JSON"},
		{"null", rawRequest("PUT", "/v1/services/odd", `null`), 400, "must be an object"},
		{"no body", rawRequest("PUT", "/v1/services/odd", ""), 400, "not valid JSON"},
		{"bad change id", rawRequest("PUT", "/v1/services/odd", `{}`, "Change-Id: a b"), 400, "id"},
		{"bad If-Match", rawRequest("PUT", "/v1/services/odd", `{}`, "If-Match: *"), 400, "If-Match"},
		{"an escaped name", rawRequest("PUT", "/v1/services/..%2fodd", `{}`), 400, "name"},
		{"stale", rawRequest("PUT", "/v1/services/catalog", `{}`, "If-Match: 999999"), 409, "stale"},
		{"missing", rawRequest("DELETE", "/v1/services/odd", ""), 404, "missing"},
		{"in use", rawRequest("DELETE", "/v1/services/catalog", ""), 400, "service"},
		{"unknown kind", rawRequest("GET", "/v1/shops", ""), 404, "/v1/shops"},
		{"unknown page", rawRequest("POST", "/v1/where/else", ""), 405, ""},
		{"wrong method", rawRequest("PATCH", "/v1/services/odd", `{}`), 405, ""},
		{"wrong method on a change", rawRequest("GET", "/v1/change", ""), 404, ""},
		{"where without a cell", rawRequest("GET", "/v1/where?route=stock", ""), 400, "cell"},
		{"where to an unknown route", rawRequest("GET", "/v1/where?route=none&cell=cell-a1", ""), 404, "none"},
		{"too large", rawRequest("POST", "/v1/change", strings.Repeat(" ", 2<<20)), 413, "limit"},
		{"an announcement without an address", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","incarnation":1,"sequence":1}`), 400, "address"},
		{"an announcement by host name", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","address":"localhost:1","incarnation":1,"sequence":1}`), 400, "address"},
		{"a doubled announcement key", rawRequest("POST", "/v1/announce", `{"instance":"x","instance":"y","service":"catalog","cell":"c","address":"127.0.0.1:1","incarnation":1,"sequence":1}`), 400, "instance"},
		{"warmth out of bounds", rawRequest("POST", "/v1/announce", `{"instance":"x","service":"catalog","cell":"c","address":"127.0.0.1:1","incarnation":1,"sequence":1,"warmth":1.5}`), 400, "warmth"},
		{"an oversized header", rawRequest("GET", "/v1/policy", "", "X: "+strings.Repeat("a", 128<<10)), 431, ""},
		{"not HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", 400, ""},
	}
}

// badClientRequests are unusual requests of clients, which only a proxy serves.
func badClientRequests() []badRequest {
	order := func(head ...string) string { return rawRequest("POST", "/orders/item", `{}`, head...) }
	return []badRequest{
		{"an order without a key", order(), 400, "Idempotency-Key"},
		{"an empty key", order("Idempotency-Key: "), 400, "Idempotency-Key"},
		{"a key with spaces", order("Idempotency-Key: a b"), 400, "Idempotency-Key"},
		{"a key too long", order("Idempotency-Key: " + strings.Repeat("m", 257)), 400, "Idempotency-Key"},
		{"two keys", order("Idempotency-Key: odd-a", "Idempotency-Key: odd-b"), 400, "Idempotency-Key"},
		{"attempt zero", order("Idempotency-Key: odd-1", "Attempt: 0"), 400, "Attempt"},
		{"two attempts", order("Idempotency-Key: odd-1", "Attempt: 1", "Attempt: 2"), 400, "Attempt"},
		{"attempt minus one", order("Idempotency-Key: odd-1", "Attempt: -1"), 400, "Attempt"},
		{"huge attempt", order("Idempotency-Key: odd-1", "Attempt: 99999999999"), 400, "Attempt"},
		{"time left in words", rawRequest("GET", "/stock/item", "", "Time-Left: soon"), 400, "Time-Left"},
		{"negative time left", rawRequest("GET", "/stock/item", "", "Time-Left: -5"), 400, "Time-Left"},
		{"no time left", rawRequest("GET", "/stock/item", "", "Time-Left: 0"), 503, "declined"},
		{"no route", rawRequest("GET", "/nowhere/item", ""), 404, "route"},
		{"a route's prefix is no route", rawRequest("GET", "/stocking/item", ""), 404, "route"},
		{"too large", rawRequest("POST", "/orders/item", strings.Repeat("x", 2<<20), "Idempotency-Key: odd-2"), 413, "limit"},
		{"two lengths", "POST /orders/item HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\nIdempotency-Key: odd-3\r\n\r\n{}", 400, ""},
		{"chunked and a length", "POST /orders/item HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-4\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n{}\r\n0\r\n\r\n", 400, "body"},
		{"an upgrade", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Upgrade: websocket"), 200, ""},
		{"HEAD", rawRequest("HEAD", "/stock/item?token=odd&service=catalog", ""), 200, ""},
		{"an expectation", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Expect: 100-continue"), 200, ""},
		{"an odd expectation", rawRequest("GET", "/stock/item?token=odd&service=catalog", "", "Expect: the moon"), 417, ""},
		{"chunked", "POST /orders/item?token=oddc&service=ledger HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-5\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200, ""},
		{"no host", "GET /stock/item HTTP/1.1\r\nConnection: close\r\n\r\n", 400, ""},
		{"a body cut short", "POST /orders/item HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: odd-6\r\nContent-Length: 50\r\n\r\n{", 400, "body"},
	}
}

// sendRaw sends bytes, closes the sending side, and reads one response.
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

// checkBadRequests sends both tables to every kind of daemon that serves them, and
// checks the responses, and that the configuration stays as it was.
func checkBadRequests(t *testing.T, tb *Testbed) {
	is := is.New(t)
	before := call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body
	check := func(at, role string, requests []badRequest) {
		for _, r := range requests {
			if status, body := sendRaw(t, at, r); status != r.want || !strings.Contains(body, r.bodyContains) {
				t.Errorf("%s at the %s: status %d, not %d with %q: %.200s", r.name, role, status, r.want, r.bodyContains, body)
			}
		}
	}
	for _, role := range []string{"proxy", "registry", "store"} {
		check(tb.ProcessesOf(role)[0].HTTP, role, badControlRequests())
	}
	check(tb.ProcessesOf("proxy")[0].HTTP, "proxy", badClientRequests())
	is.Equal(call(t, "GET", tb.ProcessesOf("registry")[0].HTTP, "/v1/policy", "").body, before)
}
