package operator

import (
	"encoding/json"
	"net/http"
	"os"
	"reflect"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// documentedRoutes returns "METHOD path" for each operation of docs/openapi.json, sorted.
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

// jsonKeys returns the JSON keys of a struct type, sorted.
func jsonKeys(structure reflect.Type) []string {
	var keys []string
	for field := range structure.Fields() {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func TestDocumentNamesEveryField(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/openapi.json")
	is.NoErr(err)
	var document struct {
		Components struct {
			Schemas map[string]struct {
				Properties map[string]json.RawMessage
			}
		}
	}
	is.NoErr(json.Unmarshal(text, &document))
	for name, structure := range map[string]reflect.Type{
		"Change": reflect.TypeFor[Change](), "Rollback": reflect.TypeFor[Rollback](), "Problem": reflect.TypeFor[Problem](),
	} {
		var documented []string
		for key := range document.Components.Schemas[name].Properties {
			documented = append(documented, key)
		}
		sort.Strings(documented)
		is.Equal(documented, jsonKeys(structure))
	}
}
