package main

import (
	"fmt"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/measure"
)

type measureCommand struct {
	commandBase
	Examples   string        `long:"examples" default:"examples" description:"directory with the tables of the deployments"`
	SeedFrom   uint64        `long:"seed-from" default:"101" description:"first seed"`
	Seeds      uint64        `long:"seeds" default:"5" description:"number of seeds"`
	Load       []string      `long:"load" description:"name of a load to simulate, instead of all loads; may be repeated"`
	Policy     []string      `long:"policy" description:"name of a policy to simulate, instead of all policies; may be repeated"`
	Parallel   int           `long:"parallel" default:"4" description:"number of concurrent runs"`
	WidenAfter time.Duration `long:"widen-after" description:"for late binding: time that an offer waits before a further offer is made"`
	MaxOpen    int           `long:"max-open" description:"for late binding: maximum number of open offers per request"`
}

// Execute runs the comparison and prints the results as Markdown tables.
func (c *measureCommand) Execute([]string) error {
	deployments, err := measure.ReadDeployments(c.Examples)
	if err != nil {
		return err
	}
	seeds := make([]uint64, c.Seeds)
	for i := range seeds {
		seeds[i] = c.SeedFrom + uint64(i)
	}
	cells := measure.Comparison{
		Deployments: deployments,
		Loads:       filterByName(measure.Loads(), c.Load, func(l measure.Load) string { return l.Name }),
		Policies:    filterByName(c.policies(), c.Policy, func(p measure.Policy) string { return p.Name }),
		Seeds:       seeds,
		Parallel:    c.Parallel,
	}.Run()
	if len(cells) == 0 || len(seeds) == 0 {
		return fmt.Errorf("nothing to measure")
	}
	return measure.WriteMarkdown(c.out, cells)
}

func (c *measureCommand) policies() []measure.Policy {
	all := measure.Policies()
	for i := range all {
		all[i].WidenAfter = c.WidenAfter
		all[i].MaxOpen = c.MaxOpen
	}
	return all
}

// filterByName returns the elements with the given names, or all elements if no
// names are given.
func filterByName[T any](all []T, names []string, name func(T) string) []T {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(x T) bool { return !slices.Contains(names, name(x)) })
}
