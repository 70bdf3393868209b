package gateway

import (
	"net/url"
	"strings"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// servicePath returns the path and query that the upstream is asked for: the
// part of the URI after the class. It refuses a path that servers are known to
// interpret differently, percent-encoded or not, so that the gateway and the
// upstream agree on its meaning.
func servicePath(uri string, class table.ClassName) (string, error) {
	rest := strings.TrimPrefix(uri, "/services/"+string(class))
	path, _, _ := strings.Cut(rest, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil || !strings.HasPrefix(path, "/") || !isUnambiguous(decoded) {
		return "", result.Errorf(result.NotFound, "the path holds empty or dot segments, or control bytes")
	}
	return rest, nil
}

// isUnambiguous reports whether a decoded path has no empty segment except at
// its end, no dot segment, with or without a parameter, and no control byte.
func isUnambiguous(path string) bool {
	for _, b := range []byte(path) {
		if b < 0x20 || b == 0x7f {
			return false
		}
	}
	segments := strings.Split(strings.ReplaceAll(path, `\`, "/"), "/")
	for i, s := range segments[1:] {
		name, _, _ := strings.Cut(s, ";")
		last := i == len(segments)-2
		if name == "." || name == ".." || s == "" && !last {
			return false
		}
	}
	return true
}
