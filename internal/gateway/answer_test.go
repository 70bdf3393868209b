package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
)

// An answer over the bound is judged as such before it is counted, and one that
// was had anew is judged by itself.
func TestAnswerOverTheBound(t *testing.T) {
	a := &answer{limit: 3}
	a.takeData([]byte("abc"))
	assert.Equal(t, a.judge(dispatch.Finish{}).Code, result.OK)
	a.takeData([]byte("d"))
	assert.Equal(t, a.judge(dispatch.Finish{}).Code, result.AnswerTooLarge)
	assert.Equal(t, a.judge(dispatch.Finish{Code: result.SidecarLost}).Code, result.SidecarLost)
	a.discard()
	a.takeData([]byte("abc"))
	assert.Equal(t, a.judge(dispatch.Finish{}).Code, result.OK)
}
