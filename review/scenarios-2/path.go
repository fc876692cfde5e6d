package main

import (
	"bytes"
	"net"
	"sync"
)

// path is the network between gateways and one worker: it carries each connection on, may make one silent,
// and tells of a closed connection as the network does.
type path struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	connections []*carried
}

// carried is one connection on the path.
type carried struct {
	caller, worker net.Conn
	// mutex guards silent: nothing passes any more in either direction, neither bytes nor the end.
	mutex  sync.Mutex
	silent bool
	// busy is set while the last bytes came from the caller's side, or the worker's answer isn't over.
	busy bool
}

func startPath(host, target string) (*path, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &path{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *path) address() string { return p.listener.Addr().String() }

func (p *path) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		worker, err := net.Dial("tcp4", p.target)
		if err != nil {
			// The worker refuses.
			_ = caller.(*net.TCPConn).SetLinger(0)
			_ = caller.Close()
			continue
		}
		c := &carried{caller: caller, worker: worker}
		p.mutex.Lock()
		p.connections = append(p.connections, c)
		p.mutex.Unlock()
		go c.carry(caller, worker)
		go c.carry(worker, caller)
	}
}

// carry copies in one direction, and passes the end on.
func (c *carried) carry(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		c.mutex.Lock()
		silent := c.silent
		if n > 0 {
			// An answer without a length isn't over before its connection.
			c.busy = from == c.caller || !bytes.Contains(buffer[:n], []byte("Content-Length"))
		}
		c.mutex.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// silenceIdle makes the connections silent for good that carry no request, and returns their number.
func (p *path) silenceIdle() int {
	silent := 0
	for _, c := range p.opened() {
		c.mutex.Lock()
		if !c.busy {
			c.silent = true
			silent++
		}
		c.mutex.Unlock()
	}
	return silent
}

// opened returns the connections so far.
func (p *path) opened() []*carried {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]*carried(nil), p.connections...)
}

func (p *path) close() {
	_ = p.listener.Close()
	for _, c := range p.opened() {
		_ = c.caller.Close()
		_ = c.worker.Close()
	}
}
