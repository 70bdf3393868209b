package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/table"
)

type loadCommand struct {
	commandBase
	Gateway     string        `long:"gateway" required:"yes" description:"IP:port of a gateway"`
	Rate        float64       `long:"rate" default:"10" description:"requests per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"duration of the load"`
	Mix         []mixFlag     `long:"mix" required:"yes" description:"class=NAME,key=KEY,model=MODEL[,share=1][,first_token=500ms][,max_tokens=0]; may be repeated"`
	Streamed    float64       `long:"streamed" default:"0.5" description:"fraction of requests that ask for a streamed answer"`
	Concurrency int           `long:"concurrency" default:"100" description:"maximum number of requests in flight"`
	ClassHeader string        `long:"class-header" default:"Jasminewing-Class" description:"header that names the class"`
	Seed        uint64        `long:"seed" default:"1" description:"random seed for send times and choice of mixes"`
}

// Execute sends the load and prints the report as JSON.
func (c *loadCommand) Execute([]string) error {
	l := &standin.Load{
		Gateway: fleet.Address(c.Gateway), Rate: c.Rate, Duration: c.Duration,
		Streamed: c.Streamed, Concurrency: c.Concurrency, ClassHeader: c.ClassHeader, Seed: c.Seed,
	}
	for _, m := range c.Mix {
		l.Profiles = append(l.Profiles, m.RequestProfile)
	}
	report, err := l.Run(c.ctx)
	if err != nil {
		return err
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

// mixFlag is a standin.RequestProfile that the flag --mix sets.
type mixFlag struct{ standin.RequestProfile }

// UnmarshalFlag parses name=value pairs separated by commas.
func (m *mixFlag) UnmarshalFlag(s string) error {
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("mix %q: not of the form name=value", pair)
		}
		if err := m.set(name, value); err != nil {
			return fmt.Errorf("mix %q: %w", pair, err)
		}
	}
	return nil
}

func (m *mixFlag) set(name, value string) (err error) {
	switch name {
	case "class":
		m.Class = table.ClassName(value)
	case "key":
		m.Key = value
	case "model":
		m.Model = table.ServiceName(value)
	case "share":
		var n int
		n, err = strconv.Atoi(value)
		m.Share = table.Weight(n)
	case "first_token":
		m.FirstToken, err = time.ParseDuration(value)
	case "max_tokens":
		m.MaxTokens, err = strconv.Atoi(value)
	default:
		err = fmt.Errorf("unknown name")
	}
	return err
}
