package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/io/platform"
)

// postFaultSwitch sends a POST request to a fault switch and returns the status code.
func postFaultSwitch(t *testing.T, p *Platform, path string) int {
	t.Helper()
	response, err := http.Post("http://"+p.Address()+path, "", nil)
	is.New(t).NoErr(err)
	is.New(t).NoErr(response.Body.Close())
	return response.StatusCode
}

func assertUnavailable(t *testing.T, err error) {
	t.Helper()
	var unavailable platform.ErrUnavailable
	is.New(t).True(errors.As(err, &unavailable))
}

func TestFaultSwitches(t *testing.T) {
	p, services := startPlatform(t)
	write := platform.Transaction{Writes: []platform.Write{{Key: "a", Value: []byte("1")}}}
	t.Run("table down and up", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/table?down=true"), http.StatusOK)
		assertUnavailable(t, services.Table.Commit(context.Background(), write))
		is.Equal(postFaultSwitch(t, p, "/faults/table"), http.StatusOK)
		is.NoErr(services.Table.Commit(context.Background(), write))
	})
	t.Run("a lost answer after the write took effect", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/table?lose-answers=1"), http.StatusOK)
		var unknown platform.ErrOutcomeUnknown
		is.True(errors.As(services.Table.Commit(context.Background(), platform.Transaction{Writes: []platform.Write{{Key: "lost"}}}), &unknown))
		rows, err := services.Table.Read(context.Background(), []string{"lost"})
		is.NoErr(err)
		is.Equal(len(rows), 1)
	})
	t.Run("objects and list down", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/objects?down=true"), http.StatusOK)
		assertUnavailable(t, services.Objects.Put(context.Background(), "o", nil))
		is.Equal(postFaultSwitch(t, p, "/faults/list?down=true"), http.StatusOK)
		_, err := services.Hosts.List(context.Background())
		assertUnavailable(t, err)
		is.Equal(postFaultSwitch(t, p, "/faults/list?empty=true"), http.StatusOK)
		hosts, err := services.Hosts.List(context.Background())
		is.NoErr(err)
		is.Equal(len(hosts), 0)
		is.Equal(postFaultSwitch(t, p, "/faults/list"), http.StatusOK)
	})
	t.Run("a host that never comes back from reboot", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/target/h3?never-returns=true"), http.StatusOK)
		is.NoErr(services.Hosts.Reboot(context.Background(), "h3", "op"))
		time.Sleep(2 * p.fleet.RebootDuration)
		_, err := services.Workers.ListTasks(context.Background(), "h3")
		assertUnavailable(t, err)
	})
	t.Run("a failed host does not answer its workers' service", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/host/h2/fail?hang=true"), http.StatusOK)
		assertUnavailable(t, services.Workers.RenewLeases(context.Background(), "h2", platform.LeaseRenewal{}))
		is.Equal(postFaultSwitch(t, p, "/faults/host/h2/recover"), http.StatusOK)
		is.NoErr(services.Workers.RenewLeases(context.Background(), "h2", platform.LeaseRenewal{}))
	})
	t.Run("wrong switches change nothing", func(t *testing.T) {
		is := is.New(t)
		is.Equal(postFaultSwitch(t, p, "/faults/table?down=perhaps"), http.StatusBadRequest)
		is.Equal(postFaultSwitch(t, p, "/faults/target/h9?cut=1"), http.StatusNotFound)
		is.Equal(postFaultSwitch(t, p, "/faults/host/h1/dance"), http.StatusNotFound)
		is.True(!p.Table.Faults().Down)
	})
}

func TestRecordsOverHTTP(t *testing.T) {
	is := is.New(t)
	p, services := startPlatform(t)
	is.NoErr(services.Hosts.Drain(context.Background(), "h1"))
	assertRefused(t, p, "h1")
	response, err := http.Get("http://" + p.Address() + "/records")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var records Records
	is.NoErr(json.NewDecoder(response.Body).Decode(&records))
	is.Equal(records.Requests[0].Outcome, RunRefused)
	is.Equal(records.HostChanges[0].Kind, ChangeDrained)
}

func BenchmarkTableOverHTTP(b *testing.B) {
	p := New(Fleet{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.Start(ctx)
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}()
	table := platform.NewHTTPClient(p.Address(), nil).Table
	b.Run("commit", func(b *testing.B) {
		for b.Loop() {
			if err := table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{Key: "a"}}}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := table.Read(ctx, []string{"a"}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
