package measure

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes a table for each deployment, then the targets that the
// chosen policy missed. Figures are the median over the seeds, and the worst
// behind a stroke.
func WriteMarkdown(w io.Writer, cells []Cell) error {
	var text strings.Builder
	for i, c := range cells {
		if i == 0 || cells[i-1].Deployment != c.Deployment {
			writeHead(&text, c.Deployment)
		}
		writeRow(&text, c)
	}
	writeMissed(&text, MissedTargets(cells, LateBinding.Name))
	_, err := io.WriteString(w, text.String())
	return err
}

func writeHead(text *strings.Builder, d *Deployment) {
	fmt.Fprintf(text, "\n### %s\n\n", d.Name)
	columns := []string{"load", "policy"}
	for _, t := range d.Traffic {
		columns = append(columns, fmt.Sprintf("%s (tier %d), %%", t.Class, d.Table.Classes[t.Class].Tier))
	}
	columns = append(columns, "goodput, tokens/s", "wasted, %", "longest wait, s", "passed over", "cold overloads", "falls", "work when out", "offers a request")
	writeCells(text, columns)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	writeCells(text, rule)
}

func writeRow(text *strings.Builder, c Cell) {
	columns := []string{c.Load.Name, c.Policy.Name}
	for _, t := range c.Deployment.Traffic {
		a := c.Attained(t.Class)
		columns = append(columns, fmt.Sprintf("%.2f / %.2f", percent(a.Median), percent(a.Worst)))
	}
	median, worst := c.Wait()
	wasted := c.Wasted()
	columns = append(columns,
		counts(c.Goodput()),
		fmt.Sprintf("%.2f / %.2f", percent(wasted.Median), percent(wasted.Worst)),
		fmt.Sprintf("%.1f / %.1f", median.Seconds(), worst.Seconds()),
		counts(c.Count(func(s *Score) int { return s.Passed })),
		counts(c.Count(func(s *Score) int { return s.ColdOverloads })),
		counts(c.Count(func(s *Score) int { return s.Falls })),
		counts(c.Count(func(s *Score) int { return s.OutWork })),
		fmt.Sprintf("%.2f", c.spread(func(s *Score) float64 { return s.Offers }, false).Median),
	)
	writeCells(text, columns)
}

func counts(r Range) string { return fmt.Sprintf("%.0f / %.0f", r.Median, r.Worst) }

func writeCells(text *strings.Builder, columns []string) {
	fmt.Fprintf(text, "| %s |\n", strings.Join(columns, " | "))
}

func writeMissed(text *strings.Builder, missed []Missed) {
	fmt.Fprintf(text, "\n### Targets that %s missed\n\n", LateBinding.Name)
	writeCells(text, []string{"deployment", "load", "target", "worst seed", "commonest reasons, all seeds"})
	writeCells(text, []string{"---", "---", "---", "---", "---"})
	for _, m := range missed {
		writeCells(text, []string{m.Cell.Deployment.Name, m.Cell.Load.Name, m.Target, m.Seen, m.Why})
	}
}
