// Package registrytest runs one real registry against a simulated majority of stores and
// a simulated proxy, in virtual time. Tests can disconnect the registry in several ways,
// and delay the responses of the stores.
//
// Runs are deterministic: time advances only in Harness.Run and Harness.Call, and
// messages are delivered at once unless Harness.Link or Harness.ChangeDelay prevents it.
package registrytest
