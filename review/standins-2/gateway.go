package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// started holds the gateways that were started, so that all of them can be ended.
var started struct {
	mutex    sync.Mutex
	gateways []*gateway
}

// killAll ends all gateways that were started.
func killAll() {
	started.mutex.Lock()
	defer started.mutex.Unlock()
	for _, process := range started.gateways {
		process.kill()
	}
}

// gateway is one process of the project on a loopback address of its own.
type gateway struct {
	node, host                              string
	front, ready, control, directory, peers string
	metricsPort                             int
	command                                 *exec.Cmd
	ended                                   chan struct{}
}

// newHost returns a loopback address that is drawn at random, so that runs beside each other don't meet.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
}

// freePorts returns ports that are free at a host.
func freePorts(host string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newGateway(node string) (*gateway, error) {
	host := newHost()
	ports, err := freePorts(host, 5)
	if err != nil {
		return nil, err
	}
	at := func(index int) string { return net.JoinHostPort(host, strconv.Itoa(ports[index])) }
	return &gateway{node: node, host: host, front: at(0), ready: at(1), control: at(2), directory: at(3), metricsPort: ports[4]}, nil
}

// settings returns the settings file, with the figures of the site kcw-colombo.
func (g *gateway) settings(storeAddress string, seeds []string, firstStart bool) map[string]any {
	return map[string]any{
		"node": g.node, "role": "gateway", "machine_class": "front", "serves": []string{"front", "directory", "control"},
		"ip": g.host, "zone": "rajagiriya", "region": "wp-colombo", "zones": map[string]string{"rajagiriya": "wp-colombo", "kelaniya": "wp-colombo"},
		"listen":         map[string]string{"front": g.front, "ready": g.ready, "control": g.control, "directory": g.directory},
		"internal_ports": []int{7340, 7355}, "seeds": seeds, "first_start": firstStart,
		"counted_in_tolerance": false,
		"limits": map[string]any{
			"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "file_descriptors": 4200, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_directory": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"revoke_everywhere": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
			"recovery_s": 12, "transit_ms": 120, "retry_after_s": 10, "fencing_required": true, "lease_ms": 3000,
			"thaw_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_per_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
		},
	}
}

// start starts the process with the command of the deploy file, but for the port of the metrics, which must be free.
func (g *gateway) start(binary, folder string, settings map[string]any) error {
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, g.node+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(folder, g.node+".log"))
	if err != nil {
		return err
	}
	g.command = exec.Command(binary, "gateway", "--metrics-port", strconv.Itoa(g.metricsPort))
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "TILLERFALL_CONFIG=" + path}
	g.command.Stdout, g.command.Stderr = output, output
	if err := g.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	started.mutex.Lock()
	started.gateways = append(started.gateways, g)
	started.mutex.Unlock()
	go func() {
		_ = g.command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.ended
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/tillerfall/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", g.node, timeout)
}
