// Package simulation plays loads against gateways that place requests on model
// engines directly. The placement decisions are those of the real placement.Core,
// one for each gateway; callers, network and engines are simulated in virtual time.
// A seed fixes all arrivals and sizes, so that policies can be compared on the same
// requests.
//
// The engines process prompts in chunks between the tokens of running requests, by
// the figures of a Site. What is left out: plain services, prompt parts that are
// fetched while they are still being processed, and preemption of running requests.
//
// # Usage
//
//	r := simulation.Run{Site: site, Load: simulation.Load{Factor: 2}, Seed: 1}
//	report := r.Play()
//	fmt.Println(report.Goodput, report.Kinds[0].InTime)
package simulation
