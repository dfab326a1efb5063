// Package registrytest drives one real registry against a simulated majority of
// stores and a simulated proxy, in virtual time. Tests can cut the registry off in
// several ways, and delay the answers of the stores.
//
// Everything is deterministic: time advances only in Harness.Run and Harness.Call, and
// messages are delivered at once unless Harness.Link or Harness.ChangeDelay says otherwise.
package registrytest
