package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/internal/simulation"
)

type simulateCommand struct {
	commandBase
	Factor   []float64     `long:"factor" default:"0.5" default:"1" default:"2" default:"3.5" description:"load relative to the usual one; may be repeated"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of arrivals and sizes"`
	Duration time.Duration `long:"duration" default:"20s" description:"virtual time during which callers send requests"`
}

// Execute plays loads on simulated engines and prints a line of CSV for each kind of
// request.
func (c *simulateCommand) Execute([]string) error {
	w := csv.NewWriter(os.Stdout)
	if err := w.Write([]string{"site", "factor", "kind", "asked", "in_time", "late", "refused", "failed", "goodput", "processed_tokens", "recomputed_tokens"}); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	for _, site := range []simulation.Site{
		simulation.Laudjalopp("laudjalopp", 57, 31, 75.3, 103.5, 88.8),
		simulation.Pitchline("pitchline", 49, 27, 69.3, 24.8, 53),
	} {
		for _, factor := range c.Factor {
			r := simulation.Run{Site: site, Load: simulation.Load{Factor: factor, Duration: c.Duration}, Seed: c.Seed}.Play()
			if err := writeReport(w, site.Name, factor, r); err != nil {
				return fmt.Errorf("write CSV: %w", err)
			}
		}
	}
	return nil
}

func writeReport(w *csv.Writer, site string, factor float64, r simulation.Report) error {
	for _, k := range r.Kinds {
		record := []string{site, strconv.FormatFloat(factor, 'g', -1, 64), k.Name}
		for _, n := range []int{k.Asked, k.InTime, k.Late, k.Refused, k.Failed} {
			record = append(record, strconv.Itoa(n))
		}
		record = append(record, strconv.FormatFloat(r.Goodput, 'f', 1, 64), strconv.Itoa(r.Processed), strconv.Itoa(r.Recomputed))
		if err := w.Write(record); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
