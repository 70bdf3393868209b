// Package measure compares policies of dispatch under load and faults.
//
// It runs the cores of gateways and sidecars, as they are, in virtual time
// against small fake engines: one event loop, no sockets. The same seed gives
// the same requests at the same times, of the same lengths, to each policy.
//
// # Usage
//
//	d, err := measure.ReadDeployment("pitchline", "examples/pitchline")
//	score := measure.Run{Deployment: d, Load: measure.Steady, Policy: measure.LateBinding, Seed: 101}.Score()
package measure
