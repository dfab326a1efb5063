package compat

import (
	"fmt"
	"strings"
	"testing"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// operation is one operation on a register, as a client requests it.
type operation struct {
	key ids.RegisterKey
	op  consensus.Op
	arg []byte
}

// manyServices returns a change with enough services that the register's value is stored as a base
// with deltas.
func manyServices() string {
	var parts []string
	for i := range 80 {
		parts = append(parts, fmt.Sprintf(`{"kind":"service","name":"many-%d","put":{"tier":%d,"capacity":%d,"warm_ms":250}}`, i, i%9, 10+i))
	}
	return `{"id":"many","changes":[` + strings.Join(parts, ",") + `]}`
}

// sampleConfigurationOperations returns operations on the configuration: accepted and rejected
// changes, one with a base revision in its ID, merged items with versions of their own, and an
// evacuation of a zone.
func sampleConfigurationOperations() []operation {
	change := func(text string) operation { return operation{configuration.Key, configuration.OpChange, []byte(text)} }
	merge := func(text string) operation { return operation{configuration.Key, configuration.OpMerge, []byte(text)} }
	return []operation{
		change(`{"id":"first","changes":[{"kind":"service","name":"ledger","put":{"tier":8,"capacity":40}},{"kind":"route","name":"orders","put":{"prefix":"/orders","service":"ledger","repeatable":false}},{"kind":"cell","name":"north","put":{"region":"isle","target":70,"acceptable":50,"maximum":90}}]}`),
		change(manyServices()),
		change(`{"id":"at-2-second","changes":[{"kind":"route","name":"orders","version":1,"set":{"limit_ms":900}}]}`),
		change(`{"id":"stale","changes":[{"kind":"route","name":"orders","version":1,"set":{"limit_ms":100}}]}`),
		change(`{"id":"removal","changes":[{"kind":"service","name":"many-7","remove":true}]}`),
		merge(`{"items":[{"kind":"service","name":"given","version":70,"body":{"tier":3},"source":{"name":"given","note":"<&>"}},{"kind":"service","name":"gone","version":9,"removed":true}]}`),
		merge(`{"items":[{"kind":"service","name":"given","version":71,"body":{"tier":4},"source":{"name":"given"}}]}`),
		{configuration.Key, configuration.OpSetZoneEvacuation, []byte(`{"cell":"north","region":"isle","shut":true,"known":1}`)},
		change(`{"id":"limits","changes":[{"kind":"limits","name":"limits","put":{"max_body":100000}}]}`),
	}
}

// sampleRegisterOperations returns operations on the registers of leader elections and idempotency
// keys.
func sampleRegisterOperations(t *testing.T) []operation {
	t.Helper()
	encode := func(msg any) []byte {
		raw, err := wire.Encode(msg)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	owner := idempotency.Owner{Daemon: "proxy-1", RunID: 77, Request: 5}
	claim := encode(idempotency.Operation{Owner: owner, Attempt: 1, Fingerprint: []byte("print")})
	response := idempotency.Response{Status: 201, Header: []idempotency.Header{{Name: "X-Part", Value: "seven"}}, Body: []byte("done"), Digest: "sum"}
	completedKey, claimedKey, blockedKey := idempotency.RegisterKey("orders", "key-1"), idempotency.RegisterKey("orders", "key-2"), idempotency.RegisterKey("orders", "key-3")
	return []operation{
		{election.RegisterKey("planner"), election.OpAcquire, encode(election.Term{Epoch: 4, Holder: "registry-1", RunID: 99})},
		{completedKey, idempotency.OpClaim, claim},
		{completedKey, idempotency.OpComplete, encode(idempotency.Operation{Owner: owner, Attempt: 1, Response: response})},
		{claimedKey, idempotency.OpClaim, claim},
		{blockedKey, idempotency.OpBlock, encode(idempotency.Operation{Owner: owner, Attempt: 3})},
		{blockedKey, idempotency.OpNumberAttempt, encode(idempotency.Operation{Owner: owner, Fingerprint: []byte("print")})},
	}
}
