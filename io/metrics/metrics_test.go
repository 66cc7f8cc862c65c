package metrics_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/io/metrics"
)

func TestHandlerServesWhatWasCounted(t *testing.T) {
	is := is.New(t)
	m := metrics.New(map[string]string{"process": "entry-1"})
	another := metrics.New(map[string]string{"process": "entry-2"})
	is.NoErr(another.Close()) // several entry hosts may run in one process, so registries must be independent
	m.Scope.Tagged(map[string]string{"purpose": "heartbeat"}).Counter("store-writes").Inc(3)
	is.NoErr(m.Close()) // passes the last values to the reporter

	recorder := httptest.NewRecorder()
	m.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), `siskincross_store_writes{process="entry-1",purpose="heartbeat"} 3`))
}
