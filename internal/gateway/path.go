package gateway

import (
	"net/url"
	"strings"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// servicePath gives what an upstream is asked for: the request's path and query
// behind the class. A path that servers are known to read in different ways is
// refused, coded or not, so that it means the same here and there.
func servicePath(uri string, class table.ClassName) (string, error) {
	rest := strings.TrimPrefix(uri, "/services/"+string(class))
	path, _, _ := strings.Cut(rest, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil || !strings.HasPrefix(path, "/") || !isUnambiguous(decoded) {
		return "", result.Errorf(result.NotFound, "the path holds empty or dot segments, or control bytes")
	}
	return rest, nil
}

// isUnambiguous says that a decoded path has no empty segment but at its end, no dot
// segment, also with a parameter, and no control byte.
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
