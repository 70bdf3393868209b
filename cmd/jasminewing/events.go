package main

import (
	_ "embed"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/event"
)

//go:embed events_usage.txt
var eventsUsage string

var eventsSubcommand = subcommand{
	name:    "events",
	summary: "list the log events",
	usage:   eventsUsage,
	command: func(o output) flags.Commander { return &eventsCommand{out: o.stdout} },
}

var levelNames = map[event.Level]string{event.Info: "info", event.Warn: "warn", event.Error: "error"}

// eventsCommand lists the log events.
type eventsCommand struct {
	JSON bool `long:"json" description:"print JSON"`

	out io.Writer
}

// eventLine is a line of the list of log events, and its JSON form.
type eventLine struct {
	Event  int    `json:"event"`
	Name   string `json:"name"`
	Level  string `json:"level"`
	Text   string `json:"text"`
	Action string `json:"action"`
}

// Execute prints the log events as a table or as JSON.
func (c *eventsCommand) Execute([]string) error {
	var ls []eventLine
	for _, e := range event.All() {
		ls = append(ls, eventLine{int(e.Number), e.Name, levelNames[e.Level], e.Text, e.Action})
	}
	if c.JSON {
		return writeJSON(c.out, ls)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, "EVENT\tNAME\tLEVEL\tLINE\tWHAT IT ASKS OF YOU")
	for _, l := range ls {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", l.Event, l.Name, l.Level, l.Text, l.Action)
	}
	return w.Flush()
}
