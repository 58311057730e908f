package service

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"snowquay/internal/frontend/eventloop"
)

const (
	readHeaderTimeout = 5 * time.Second  // limit for a client to send the header of its request
	idleTimeout       = 60 * time.Second // limit for a client to begin its next request
	maxHeaderBytes    = 4 << 10          // limit of the header of a request, to which net/http adds 4 KiB
	shutdownTimeout   = 5 * time.Second  // limit for the requests in progress when a server shuts down
)

// httpServer is an HTTP server that runs outside the event loop. listenHTTP starts one.
type httpServer struct {
	server   *http.Server
	finished chan struct{} // closed when the serving goroutine has ended
}

// listenHTTP starts an HTTP server on an address. name identifies the server in errors and in the log. The caller
// must call shutdown or abort in the end.
func listenHTTP(name string, address netip.AddrPort, handler http.Handler, logger *slog.Logger) (*httpServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	limited := newLimitedListener(listener, httpConnections(eventloop.MaxDescriptors()))
	s := &httpServer{
		server: &http.Server{
			Handler:           limited.handler(handler),
			ConnContext:       limited.connContext,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnState:         limited.track,
		},
		finished: make(chan struct{}),
	}
	go func() {
		defer close(s.finished)
		err := s.server.Serve(limited)
		if !errors.Is(err, http.ErrServerClosed) {
			logger.Error("HTTP server failed", "server", name, "error", err)
		}
	}()
	return s, nil
}

// shutdown stops the server once the requests in progress are answered, after shutdownTimeout at the latest.
func (s *httpServer) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.server.Shutdown(ctx)
	<-s.finished
	return err
}

// abort stops the server at once and closes its connections.
func (s *httpServer) abort() error {
	err := s.server.Close()
	<-s.finished
	return err
}
