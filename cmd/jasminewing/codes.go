package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/pkg/result"
)

//go:embed codes_usage.txt
var codesUsage string

var codesSubcommand = subcommand{
	name:    "codes",
	summary: "list the result codes",
	usage:   codesUsage,
	command: func(o output) flags.Commander { return &codesCommand{out: o.stdout} },
}

// columnPadding is the number of spaces between the columns of printed tables.
const columnPadding = 2

// codesCommand lists the result codes.
type codesCommand struct {
	JSON bool `long:"json" description:"print JSON"`

	out io.Writer
}

// codeLine is a line of the list of result codes, and its JSON form.
type codeLine struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Status int    `json:"status"`
	NotRun bool   `json:"not_run"`
	Retry  bool   `json:"retry"`
	Text   string `json:"text"`
}

// Execute prints the result codes as a table or as JSON.
func (c *codesCommand) Execute([]string) error {
	var ls []codeLine
	for _, i := range result.All() {
		ls = append(ls, codeLine{int(i.Code), i.Name, i.Status, i.NotRun, i.Retry, i.Text})
	}
	if c.JSON {
		return writeJSON(c.out, ls)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, "CODE\tNAME\tSTATUS\tNOT RUN\tRETRY\tMEANING")
	for _, l := range ls {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", l.Code, l.Name, l.Status, yesNo(l.NotRun), yesNo(l.Retry), l.Text)
	}
	return w.Flush()
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
