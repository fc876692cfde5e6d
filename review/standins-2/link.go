package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// firstRetransmission is when TCP sends unacknowledged data again for the first time. The time doubles with each
	// further try (RFC 6298; Linux begins at 200 ms).
	firstRetransmission = 200 * time.Millisecond
	// linkBacklog is the number of connections that a link's listener holds before they are accepted.
	linkBacklog = 8
)

// link is the network before one worker. While it is cut, nothing passes in either direction, and nobody can connect. What
// was sent meanwhile arrives when TCP sends it again.
type link struct {
	host, address string
	port          int

	mutex sync.Mutex
	// listener is nil while no process listens at the worker's address, but for a cut link, which tells nobody so.
	listener *net.TCPListener
	target   string
	cutUntil time.Time
	// fillers are the connections that fill the listener's queue during a cut, by their local addresses.
	fillers map[string]net.Conn
}

func newLink(host string, target string) (*link, error) {
	listener, err := listenWithBacklog(host, 0, linkBacklog)
	if err != nil {
		return nil, err
	}
	l := &link{
		host: host, address: listener.Addr().String(), port: listener.Addr().(*net.TCPAddr).Port,
		listener: listener, target: target, fillers: map[string]net.Conn{},
	}
	go l.serve(listener)
	return l, nil
}

// listenWithBacklog listens at a port, or at a free one. A full queue drops further attempts to connect, as a cut link
// does.
func listenWithBacklog(host string, port, backlog int) (*net.TCPListener, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	defer func() { _ = file.Close() }()
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	address := syscall.SockaddrInet4{Port: port, Addr: [4]byte(net.ParseIP(host).To4())}
	if err := syscall.Bind(descriptor, &address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(descriptor, backlog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("%T is no TCP listener", listener)
	}
	return tcp, nil
}

// cut cuts the link for a time.
func (l *link) cut(duration time.Duration) {
	until := time.Now().Add(duration)
	l.mutex.Lock()
	l.cutUntil = until
	listener := l.listener
	l.mutex.Unlock()
	_ = listener.SetDeadline(time.Now())
	go func() {
		l.fill()
		time.Sleep(time.Until(until))
		l.mutex.Lock()
		for _, filler := range l.fillers {
			_ = filler.Close()
		}
		l.mutex.Unlock()
		_ = listener.SetDeadline(time.Time{})
	}()
}

// fill fills the listener's queue, so that further attempts to connect get no answer.
func (l *link) fill() {
	for range 3 * linkBacklog {
		filler, err := net.DialTimeout("tcp4", l.address, 30*time.Millisecond)
		if err != nil {
			return
		}
		l.mutex.Lock()
		l.fillers[filler.LocalAddr().String()] = filler
		l.mutex.Unlock()
	}
}

// refuse has new connections refused, since the worker has ended. A cut link tells nobody so.
func (l *link) refuse() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if time.Now().After(l.cutUntil) {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// lead names the address to which new connections go from now on.
func (l *link) lead(target string) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.target = target
	if l.listener != nil {
		return nil
	}
	listener, err := listenWithBacklog(l.host, l.port, linkBacklog)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.serve(listener)
	return nil
}

func (l *link) serve(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l.mutex.Lock()
		target, filler := l.target, l.fillers[conn.RemoteAddr().String()]
		delete(l.fillers, conn.RemoteAddr().String())
		l.mutex.Unlock()
		if filler != nil {
			_ = conn.Close()
			continue
		}
		go l.carry(conn, target)
	}
}

func (l *link) carry(conn *net.TCPConn, target string) {
	defer func() { _ = conn.Close() }()
	dialed, err := net.Dial("tcp4", target)
	if err != nil {
		// A process that isn't there refuses by a reset.
		_ = conn.SetLinger(0)
		return
	}
	worker := dialed.(*net.TCPConn)
	defer func() { _ = worker.Close() }()
	var group sync.WaitGroup
	group.Go(func() { l.pump(worker, conn) })
	group.Go(func() { l.pump(conn, worker) })
	group.Wait()
}

// pump passes bytes and the end of one direction on.
func (l *link) pump(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		time.Sleep(time.Until(l.arrival(time.Now())))
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				// The one that doesn't listen any more resets the connection.
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// arrival returns when something arrives that is sent at a time: at once, or, if the link is cut then, when it is sent
// again for the first time after the cut.
func (l *link) arrival(sent time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	arrival := sent
	for wait := firstRetransmission; arrival.Before(l.cutUntil); wait *= 2 {
		arrival = arrival.Add(wait)
	}
	return arrival
}
