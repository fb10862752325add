package routing

import (
	"net/http"
	"strings"
)

// Target returns the path and query of a request that a server received, byte for byte as they were
// sent. The URL of the request may escape them anew. "*" stands for none.
func Target(request *http.Request) string {
	target := request.RequestURI
	if target == "" {
		return request.URL.RequestURI()
	}
	if strings.HasPrefix(target, "/") || target == "*" {
		return target
	}
	// The absolute form has a scheme and an authority before the path.
	_, target, _ = strings.Cut(target, "://")
	begin := strings.IndexAny(target, "/?")
	switch {
	case begin < 0:
		return "/"
	case target[begin] == '?':
		return "/" + target[begin:]
	}
	return target[begin:]
}

// Path returns the path of a request as Target does.
func Path(request *http.Request) string {
	path, _, _ := strings.Cut(Target(request), "?")
	return path
}
