package main

import (
	"encoding/json"
	"time"
)

// resentChange: the acknowledgement of a valid change is lost, the other operator moves a route
// on and drops the service that it has left, and the first change is sent again unchanged.
func resentChange(f *fleet, trouble bool) (int, error) {
	for i, name := range []string{"mostrador", "cuentas", "cuentas-old"} {
		t, err := f.newTarget("i-"+name, name, zoneNames[i], f.subnet+"61:"+string(rune('1'+i))+"080")
		if err != nil {
			return 2, err
		}
		defer t.end()
		t.start()
	}
	first := patch([]object{
		route("account-pay", "/pay/", "non_idempotent", "cuentas", maxAttempts, 3),
		route("order-place", "/order/", "non_idempotent", "cuentas", maxAttempts, 3),
	}, []object{service("mostrador", 3), service("cuentas", 3), service("cuentas-old", 3)}, limits(3), nil)
	if status := f.order("PATCH", "/configuration", first, 20*time.Second); status != 200 {
		return 2, errorf("the first configuration was answered %d", status)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2, errorf("the proxies are not ready")
	}
	time.Sleep(3 * time.Second)

	// Operator A: one call, two routes. Its acknowledgement is lost on the way.
	a := patch([]object{
		route("account-pay", "/pay/", "non_idempotent", "cuentas-old", maxAttempts, 7),
		route("order-place", "/order/", "non_idempotent", "mostrador", maxAttempts, 7),
	}, nil, nil, nil)
	status, answer := f.call(f.cores[0], "PATCH", "/configuration", a)
	f.record.say("operator A sends its change (routes at version 7): the system answers %d %s", status, answer)
	if status != 200 {
		return 2, errorf("operator A's change was answered %d", status)
	}
	if !trouble {
		f.record.say("operator A has its acknowledgement")
		return f.judgeResent(200)
	}
	f.record.say("that answer is lost: operator A has none")

	// Operator B: moves account-pay on and drops the service that nothing uses any more.
	b := patch([]object{route("account-pay", "/pay/", "non_idempotent", "cuentas", maxAttempts, 9)}, nil, nil,
		object{"service_table": []object{{"name": "cuentas-old", "version_number": 9}}})
	status, answer = f.call(f.cores[1], "PATCH", "/configuration", b)
	f.record.say("operator B sends its change (account-pay at version 9, cuentas-old dropped): %d %s", status, answer)
	if status != 200 {
		return 2, errorf("operator B's change was answered %d", status)
	}
	status, answer = 0, nil
	for i := 0; status == 0 || status >= 500; i++ {
		status, answer = f.call(f.cores[(i+1)%3], "PATCH", "/configuration", a)
		f.record.say("operator A sends the same change again: %d %s", status, answer)
		time.Sleep(200 * time.Millisecond)
	}
	return f.judgeResent(status)
}

// judgeResent reads the configuration for contact_s, sends orders, and returns 1 if a change that
// was refused is in force.
func (f *fleet) judgeResent(lastAnswer int) (int, error) {
	time.Sleep(2 * time.Second)
	version, service, ran := 0, "", 0
	for range 8 {
		status, raw := f.call(f.cores[2], "GET", "/configuration", nil)
		var read struct {
			Routes []struct {
				Name    string `json:"name"`
				Service string `json:"service"`
				Version int    `json:"version_number"`
			} `json:"route_table"`
		}
		if status == 200 && json.Unmarshal(raw, &read) == nil {
			for _, r := range read.Routes {
				f.record.log("read back: %s at version %d to %s", r.Name, r.Version, r.Service)
				if r.Name == "order-place" {
					version, service = r.Version, r.Service
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for range 5 {
		a := f.newClient("ba-a").try("order-"+time.Now().Format("05.000"), "POST", "/order/a", 300, 3*time.Second)
		if a.status == 200 && len(a.seal) > 11 && a.seal[:11] == "seal-i-most" {
			ran++
		}
	}
	f.record.say("order-place is read back at version %d to %s; %d of 5 orders ran at mostrador; operator A's last answer was %d", version, service, ran, lastAnswer)
	if version != 7 {
		return 2, errorf("order-place is at version %d", version)
	}
	if lastAnswer >= 400 && lastAnswer < 500 {
		f.record.say("CONFIG: a change that was refused is in force")
		return 1, nil
	}
	return 0, nil
}
