package listen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestBeforeShutDown guards against a request without an answer: it had arrived on a connection that counted as idle, and was not
// read yet when the server was shut down.
func TestRequestBeforeShutDown(t *testing.T) {
	const rounds, clients = 40, 8
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	unanswered := 0
	for range rounds {
		server := &Server{Handler: answer}
		address := withServer(t, server)
		var connections []net.Conn
		for range clients {
			c := withConnection(t, address)
			is.New(t).Equal(ask(c, "/"), http.StatusOK)
			connections = append(connections, c)
		}
		awaitWaiting(server, clients)
		for _, c := range connections {
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.New(t).NoErr(err)
		}
		is.New(t).NoErr(server.ShutDown(context.Background()))
		for _, c := range connections {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				unanswered++
				continue
			}
			is.New(t).NoErr(response.Body.Close())
		}
	}
	is.New(t).Equal(unanswered, 0)
}

// TestShutDownClosesIdleConnections guards against a shutdown that waits for connections without a request, or for longer than it may for
// one whose request stays incomplete.
func TestShutDownClosesIdleConnections(t *testing.T) {
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	idle := func(t *testing.T) (*Server, net.Conn) {
		server := &Server{Handler: answer}
		c := withConnection(t, withServer(t, server))
		is.New(t).Equal(ask(c, "/"), http.StatusOK)
		awaitWaiting(server, 1)
		return server, c
	}
	t.Run("idle", func(t *testing.T) {
		server, c := idle(t)
		is.New(t).NoErr(server.ShutDown(context.Background()))
		assertClosed(t, c)
	})
	t.Run("new", func(t *testing.T) {
		server := &Server{Handler: answer}
		c := withConnection(t, withServer(t, server))
		awaitWaiting(server, 1)
		is.New(t).NoErr(server.ShutDown(context.Background()))
		assertClosed(t, c)
	})
	t.Run("new, its request arrives a little later", func(t *testing.T) {
		server := &Server{Handler: answer}
		c := withConnection(t, withServer(t, server))
		awaitWaiting(server, 1)
		server.connections.grace = waitLimit
		ended := make(chan error)
		go func() { ended <- server.ShutDown(context.Background()) }()
		for !server.connections.endsGracefully() {
			time.Sleep(time.Millisecond)
		}
		is.New(t).Equal(ask(c, "/"), http.StatusOK)
		is.New(t).NoErr(<-ended)
		assertClosed(t, c)
	})
	t.Run("incomplete request", func(t *testing.T) {
		server, c := idle(t)
		_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHo")
		is.New(t).NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err = server.ShutDown(ctx)
		is.New(t).True(err == nil || errors.Is(err, context.DeadlineExceeded))
		is.New(t).True(ctx.Err() != nil) // the request could have been completed until then
		server.Abort()
		assertClosed(t, c)
	})
}
