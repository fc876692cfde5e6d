// Package bytecount counts the bytes that a server exchanges over TCP.
package bytecount

import (
	"net"
	"sync/atomic"
)

// Listener adds the bytes that its connections receive and send to a counter.
type Listener struct {
	net.Listener
	bytes *atomic.Int64
}

// NewListener wraps a listener. Several listeners may share a counter.
func NewListener(listener net.Listener, bytes *atomic.Int64) *Listener {
	return &Listener{Listener: listener, bytes: bytes}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, bytes: l.bytes}, nil
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn. It counts the bytes before sending them, so that they are included
// once the peer has read them.
func (c *conn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	count, err := c.Conn.Write(data)
	c.bytes.Add(int64(count - len(data)))
	return count, err
}
