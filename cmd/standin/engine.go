package main

import (
	"time"

	"jasminewing.dev/jasminewing/internal/standin"
)

type engineCommand struct {
	commandBase
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Name          string        `long:"name" default:"engine" description:"name in the instance ID"`
	Slots         int           `long:"slots" default:"8" description:"maximum number of requests that run at full speed"`
	FirstToken    time.Duration `long:"first-token" default:"50ms" description:"time to the first token"`
	TokenGap      time.Duration `long:"token-gap" default:"10ms" description:"time between tokens"`
	LeastTokens   int           `long:"least-tokens" default:"8" description:"minimum tokens of an answer to a request without max_tokens"`
	MostTokens    int           `long:"most-tokens" default:"64" description:"maximum tokens of an answer to a request without max_tokens"`
	ColdSlots     int           `long:"cold-slots" description:"maximum number of requests that a cold engine can run without crashing; 0 for an engine that is never cold"`
	ColdFactor    float64       `long:"cold-factor" description:"factor on all times of a cold engine"`
	WarmAfter     int           `long:"warm-after" default:"4" description:"number of completed requests after which a cold engine is warm"`
	RestartAfter  time.Duration `long:"restart-after" default:"1s" description:"time for which a crashed engine resets connections before it restarts"`
	LoadFor       time.Duration `long:"load-for" description:"time for which a restarted engine reports that it is loading"`
	LoadLag       time.Duration `long:"load-lag" description:"age of the load report"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an outdated fencing number"`
}

// Execute runs the engine.
func (c *engineCommand) Execute([]string) error {
	e := &standin.Engine{
		Name: c.Name, Slots: c.Slots, FirstToken: c.FirstToken, TokenGap: c.TokenGap,
		LeastTokens: c.LeastTokens, MostTokens: c.MostTokens,
		ColdSlots: c.ColdSlots, ColdFactor: c.ColdFactor, WarmAfter: c.WarmAfter,
		RestartAfter: c.RestartAfter, LoadingTime: c.LoadFor, LoadReportLag: c.LoadLag, ChecksFencing: c.ChecksFencing,
	}
	return c.serve([]server{{"listening", c.Listen, e}})
}
