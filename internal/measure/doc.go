// Package measure compares dispatch policies under load and faults.
//
// It is a discrete-event simulation: the unmodified state machines of gateways
// and sidecars run in virtual time against simulated engines, on one event loop
// and without sockets. For the same seed, each policy receives the same requests
// at the same times and with the same answer lengths.
//
// # Usage
//
//	deployments, err := measure.ReadDeployments("examples")
//	run := measure.Run{Deployment: deployments[0], Load: measure.Loads()[0], Policy: measure.LateBinding, Seed: 101}
//	stats := run.Simulate()
package measure
