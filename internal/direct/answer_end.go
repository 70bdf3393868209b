package direct

import "jasminewing.dev/jasminewing/internal/upstream"

// answerEnd describes how an upstream's answer was framed and how it ended.
type answerEnd struct {
	framing upstream.Framing
	how     ending
	// unfinished is the number of bytes of a stream after its last whole event.
	unfinished int
}

// ending is how the body of an answer ended.
type ending string

const (
	// endedWhole is the end that the framing announces, after a whole event if the
	// answer is a stream.
	endedWhole ending = "whole"
	// endedInsideEvent is such an end inside an event of a stream.
	endedInsideEvent ending = "inside_event"
	// endedOutOfSequence is an end by the gateway, since an event does not follow the one
	// before it.
	endedOutOfSequence ending = "out_of_sequence"
	// endedCut is every other end, such as a reset connection.
	endedCut ending = "cut"
)

// endings lists all endings.
var endings = []ending{endedWhole, endedInsideEvent, endedOutOfSequence, endedCut}
