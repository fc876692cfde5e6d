package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// The deployment's links have small windows: a peer that doesn't read holds the writer up. On loopback,
// where a segment has 64 KB, the kernel would take megabytes from the writer.
const (
	// windowBytes is the size of the buffers of proxies and workers.
	windowBytes = 4 << 10
	// segmentBytes is the segment size of a usual network.
	segmentBytes = 1448
)

// smallWindow is a control function for listeners whose connections have small windows.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
	})
}

// proxy stands on the way to one worker. It copies bytes, and resets connections when it is told to.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	open  map[*link]bool
}

// link is one connection through a proxy.
type link struct{ from, to *net.TCPConn }

func (l *link) reset() {
	_ = l.from.SetLinger(0)
	_ = l.to.SetLinger(0)
	_ = l.from.Close()
	_ = l.to.Close()
}

// startProxy serves a proxy before an address.
func startProxy(target string) (*proxy, error) {
	listener, err := listenWithSmallWindow()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[*link]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) carry(from *net.TCPConn) {
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	current := &link{from: from, to: conn.(*net.TCPConn)}
	_ = current.to.SetWriteBuffer(windowBytes)
	p.mutex.Lock()
	p.open[current] = true
	p.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { pass(current.to, current.from) })
	group.Go(func() { pass(current.from, current.to) })
	group.Wait()
	p.mutex.Lock()
	delete(p.open, current)
	p.mutex.Unlock()
	_ = current.from.Close()
	_ = current.to.Close()
}

// pass copies one direction. A regular end is passed on as one; any other closes both directions.
func pass(to, from *net.TCPConn) {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 4<<10))
	if err == nil {
		_ = to.CloseWrite()
		return
	}
	_ = to.SetLinger(0)
	_ = to.Close()
	_ = from.Close()
}

// linksFrom returns the open connections that come from the given local ports, and the number of all others.
func (p *proxy) linksFrom(ports map[int]bool) (found []*link, others int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for current := range p.open {
		if ports[current.from.RemoteAddr().(*net.TCPAddr).Port] {
			found = append(found, current)
		} else {
			others++
		}
	}
	return found, others
}

// resetShare resets a share, rounded down, of the connections that one gateway has open through the
// proxies. Connections of other gateways stay.
func resetShare(proxies []*proxy, g *gateway, share float64) (reset, open, others int) {
	ports := portsOf(g.command.Process.Pid)
	var links []*link
	for _, before := range proxies {
		found, rest := before.linksFrom(ports)
		links, others = append(links, found...), others+rest
	}
	rand.Shuffle(len(links), func(a, b int) { links[a], links[b] = links[b], links[a] })
	reset = int(share * float64(len(links)))
	for _, current := range links[:reset] {
		current.reset()
	}
	return reset, len(links), others
}

// portsOf returns the local ports of a process's TCP connections.
func portsOf(pid int) map[int]bool {
	sockets := make(map[string]bool)
	descriptors := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(descriptors)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(descriptors, entry.Name())); err == nil {
			sockets[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	ports := make(map[int]bool)
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !sockets[fields[9]] {
			continue
		}
		if _, port, found := strings.Cut(fields[1], ":"); found {
			if number, err := strconv.ParseInt(port, 16, 32); err == nil {
				ports[int(number)] = true
			}
		}
	}
	return ports
}
