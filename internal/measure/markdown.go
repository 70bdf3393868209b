package measure

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes a table for each deployment and a table of the targets
// that LateBinding missed. Values are the median over the seeds, followed by a
// slash and the worst value.
func WriteMarkdown(w io.Writer, cells []Cell) error {
	var text strings.Builder
	for i, c := range cells {
		if i == 0 || cells[i-1].Deployment != c.Deployment {
			writeHeader(&text, c.Deployment)
		}
		writeRow(&text, c)
	}
	writeMissedTargets(&text, MissedTargets(cells, LateBinding.Name))
	_, err := io.WriteString(w, text.String())
	return err
}

func writeHeader(text *strings.Builder, d *Deployment) {
	fmt.Fprintf(text, "\n### %s\n\n", d.Name)
	columns := []string{"load", "policy"}
	for _, t := range d.Traffic {
		columns = append(columns, fmt.Sprintf("%s (tier %d), %%", t.Class, d.Table.Classes[t.Class].Tier))
	}
	columns = append(columns, "goodput, tokens/s", "wasted, %", "longest wait, s", "passed over", "cold overloads", "falls", "work when out", "offers a request")
	writeTableRow(text, columns)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	writeTableRow(text, rule)
}

func writeRow(text *strings.Builder, c Cell) {
	columns := []string{c.Load.Name, c.Policy.Name}
	for _, t := range c.Deployment.Traffic {
		a := c.Attained(t.Class)
		columns = append(columns, fmt.Sprintf("%.2f / %.2f", percent(a.Median), percent(a.Worst)))
	}
	median, worst := c.LongestWait()
	wasted := c.Wasted()
	columns = append(columns,
		formatCounts(c.Goodput()),
		fmt.Sprintf("%.2f / %.2f", percent(wasted.Median), percent(wasted.Worst)),
		fmt.Sprintf("%.1f / %.1f", median.Seconds(), worst.Seconds()),
		formatCounts(c.Count(func(s *Stats) int { return s.MaxStarvationGrants })),
		formatCounts(c.Count(func(s *Stats) int { return s.ColdOverloads })),
		formatCounts(c.Count(func(s *Stats) int { return s.ColdCrashes })),
		formatCounts(c.Count(func(s *Stats) int { return s.ForwardedWhenOut })),
		fmt.Sprintf("%.2f", c.rangeOf(func(s *Stats) float64 { return s.OffersPerRequest }, false).Median),
	)
	writeTableRow(text, columns)
}

func formatCounts(r Range) string { return fmt.Sprintf("%.0f / %.0f", r.Median, r.Worst) }

func writeTableRow(text *strings.Builder, columns []string) {
	fmt.Fprintf(text, "| %s |\n", strings.Join(columns, " | "))
}

func writeMissedTargets(text *strings.Builder, missed []MissedTarget) {
	fmt.Fprintf(text, "\n### Targets that %s missed\n\n", LateBinding.Name)
	writeTableRow(text, []string{"deployment", "load", "target", "worst seed", "commonest reasons, all seeds"})
	writeTableRow(text, []string{"---", "---", "---", "---", "---"})
	for _, m := range missed {
		writeTableRow(text, []string{m.Cell.Deployment.Name, m.Cell.Load.Name, m.Target, m.Observed, m.Causes})
	}
}
