package service

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	minHeadTime  = 100 * time.Millisecond // time that a connection has for the head of a request if others wait for its place
	writeTimeout = 10 * time.Second       // limit for a client to receive a part of a response
)

// limitedListener is the listener of an HTTP server with a limit on open connections. At the limit, a new connection takes the place
// of the one whose request has not been handled for the longest time, at least minHeadTime: it waits for the head of a request, or
// net/http is about to close it, for which it takes half a second after some errors. Until there is one, no connection is accepted.
// Methods track and connContext have to be the ConnState and the ConnContext of the server, and handler has to wrap its handler.
type limitedListener struct {
	net.Listener
	limit   int
	changed chan struct{} // receives a value when a connection has been closed or is waiting
	closed  chan struct{}
	once    sync.Once

	mu      sync.Mutex
	open    map[net.Conn]bool
	waiting *list.List // waitingConn, in the order in which they began to wait
	places  map[net.Conn]*list.Element
}

// waitingConn is a connection without a request that is being handled.
type waitingConn struct {
	conn  net.Conn
	since time.Time
}

// timedConn is a connection with a limit on the duration of each write.
type timedConn struct{ net.Conn }

// Write implements net.Conn.
func (c timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{
		Listener: listener,
		limit:    limit,
		changed:  make(chan struct{}, 1),
		closed:   make(chan struct{}),
		open:     map[net.Conn]bool{},
		waiting:  list.New(),
		places:   map[net.Conn]*list.Element{},
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := timedConn{accepted}
	for !l.add(conn) {
		select {
		case <-l.changed:
		case <-time.After(minHeadTime / 8):
		case <-l.closed:
			_ = conn.Close()
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// add counts a new connection. At the limit it closes one that has waited long enough; if there is none, it returns false.
func (l *limitedListener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		first := l.waiting.Front()
		if first == nil {
			return false
		}
		oldest, _ := first.Value.(waitingConn)
		if time.Since(oldest.since) < minHeadTime {
			return false
		}
		l.remove(oldest.conn)
		_ = oldest.conn.Close() // the server notices that and ends the goroutine of the connection
	}
	l.open[conn] = true
	l.wait(conn)
	return true
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func (l *limitedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// handler returns a handler whose connections keep their places while it runs.
func (l *limitedListener) handler(wrapped http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(net.Conn)
		if !ok {
			wrapped.ServeHTTP(w, r)
			return
		}
		l.setHandled(conn, true)
		defer l.setHandled(conn, false)
		wrapped.ServeHTTP(w, r)
	})
}

func (l *limitedListener) setHandled(conn net.Conn, handled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handled {
		l.stopWaiting(conn)
		return
	}
	l.wait(conn)
}

// track records the state of a connection.
func (l *limitedListener) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew: // it is counted by add
	case http.StateActive, http.StateIdle:
		l.stopWaiting(conn)
		l.wait(conn)
	case http.StateHijacked, http.StateClosed:
		l.remove(conn)
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *limitedListener) wait(conn net.Conn) {
	if l.open[conn] && l.places[conn] == nil {
		l.places[conn] = l.waiting.PushBack(waitingConn{conn: conn, since: time.Now()})
	}
}

func (l *limitedListener) stopWaiting(conn net.Conn) {
	if place := l.places[conn]; place != nil {
		l.waiting.Remove(place)
		delete(l.places, conn)
	}
}

func (l *limitedListener) remove(conn net.Conn) {
	l.stopWaiting(conn)
	delete(l.open, conn)
}
