package main

import (
	"time"

	"jasminewing.dev/jasminewing/internal/standin"
)

type bookingCommand struct {
	commandBase
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Delay  time.Duration `long:"delay" default:"20ms" description:"duration of a booking"`
}

// Execute runs the booking service.
func (c *bookingCommand) Execute([]string) error {
	return c.serve([]server{{"listening", c.Listen, &standin.Booking{Delay: c.Delay}}})
}
