// Package bytecount counts the bytes that a server exchanges over TCP, HTTP
// included.
package bytecount

import (
	"net"
	"sync/atomic"
)

// Listener adds the bytes of its connections, both ways, to a counter.
type Listener struct {
	net.Listener
	bytes *atomic.Int64
}

// NewListener wraps a listener; several may share a counter.
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

// Write implements net.Conn. The bytes are counted before they are sent, so that
// whoever has read an answer finds it counted.
func (c *conn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	count, err := c.Conn.Write(data)
	c.bytes.Add(int64(count - len(data)))
	return count, err
}
