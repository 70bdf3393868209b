package main

import (
	"time"

	"jasminewing.dev/jasminewing/internal/standin"
)

type engineCommand struct {
	commandBase
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Name          string        `long:"name" default:"engine" description:"part of the instance id"`
	Slots         int           `long:"slots" default:"8" description:"requests that run at full speed"`
	FirstToken    time.Duration `long:"first-token" default:"50ms" description:"time to the first token"`
	TokenGap      time.Duration `long:"token-gap" default:"10ms" description:"time between tokens"`
	LeastTokens   int           `long:"least-tokens" default:"8" description:"shortest answer where max_tokens is not given"`
	MostTokens    int           `long:"most-tokens" default:"64" description:"longest answer where max_tokens is not given"`
	ColdSlots     int           `long:"cold-slots" description:"requests that it bears when cold; 0 for never cold"`
	ColdFactor    float64       `long:"cold-factor" description:"factor on its times when cold"`
	WarmAfter     int           `long:"warm-after" default:"4" description:"completions that warm it"`
	RestartAfter  time.Duration `long:"restart-after" default:"1s" description:"time that a crashed engine is gone"`
	LoadFor       time.Duration `long:"load-for" description:"time that a restarted engine says it loads"`
	LoadLag       time.Duration `long:"load-lag" description:"age of the load report"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old number"`
}

// Execute serves the engine.
func (c *engineCommand) Execute([]string) error {
	e := &standin.Engine{
		Name: c.Name, Slots: c.Slots, FirstToken: c.FirstToken, TokenGap: c.TokenGap,
		LeastTokens: c.LeastTokens, MostTokens: c.MostTokens,
		ColdSlots: c.ColdSlots, ColdFactor: c.ColdFactor, WarmAfter: c.WarmAfter,
		RestartAfter: c.RestartAfter, LoadFor: c.LoadFor, LoadLag: c.LoadLag, ChecksFencing: c.ChecksFencing,
	}
	return c.serve([]server{{"listening", c.Listen, e}})
}
