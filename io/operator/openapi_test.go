package operator

import (
	"encoding/json"
	"net/http"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func documentedRoutes(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("../../docs/openapi.json")
	is.NoErr(err)
	var document struct {
		Paths map[string]map[string]json.RawMessage
	}
	is.NoErr(json.Unmarshal(text, &document))
	var routes []string
	for path, methods := range document.Paths {
		for method := range methods {
			routes = append(routes, strings.ToUpper(method)+" "+path)
		}
	}
	sort.Strings(routes)
	return routes
}

func TestDocumentNamesEveryRoute(t *testing.T) {
	is := is.New(t)
	s := &Server{Metrics: http.NotFoundHandler()}
	var routes []string
	for _, r := range s.routes().GetRoutes() {
		routes = append(routes, r.Method+" "+r.Tmpl().Src)
	}
	sort.Strings(routes)
	is.Equal(routes, documentedRoutes(t))
}
