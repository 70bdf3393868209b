package upstream

import (
	"errors"
	"fmt"
	"net/http"
)

// errBadStatus is returned for a response whose status is below 100.
var errBadStatus = errors.New("the answer has no valid status")

// CheckHead returns an error if the head of a response is malformed in a way that net/http
// accepts.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: %03d", errBadStatus, r.StatusCode)
	}
	return nil
}
