package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/gateway"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/platform"
)

// gatewayCommand runs a gateway on the platform.
type gatewayCommand struct {
	Settings    string `long:"settings" description:"Settings file; by default the platform's variable names it"`
	MetricsPort int    `long:"metrics-port" description:"Port that serves metrics at /metrics on the machine's address; 0 serves none"`
	LogLevel    string `long:"log-level" default:"info" description:"Least level that is logged"`
	Check       bool   `long:"check" description:"Check the settings file and end"`
}

const (
	// logBufferLines is the number of log lines that are buffered while standard output is slow.
	// Further lines are dropped and counted.
	logBufferLines = 4096
	// gcPercent lowers memory use at the cost of processor time. The gateway's live heap is small.
	gcPercent = 60
	// memoryLimitFraction is the fraction of the machine's memory that is the runtime's soft limit.
	memoryLimitFraction = 0.7
	megabyte            = 1 << 20
)

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if c.Check {
		return nil
	}
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryLimitFraction * megabyte))
	}
	output := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		_, _ = os.Stderr.WriteString("event=log_lines_lost count=" + strconv.Itoa(missed) + "\n")
	})
	defer func() { _ = output.Close() }()
	logger := logging.New(output, "gateway", fleet.NodeID(settings.Node), c.LogLevel)
	registry := prometheus.NewRegistry()
	meter := &traffic.Meter{}
	store := platform.NewStore(settings.StoreAddress, meter)
	engines := platform.NewEngineClient(meter)
	process, err := gateway.New(*settings, gateway.Dependencies{
		Store:   store,
		Leases:  platform.NewLeaseTables(store),
		Engines: engines,
		Codec:   platform.Codec{},
		Traffic: meter,
		CloseIdle: func() {
			store.CloseIdle()
			engines.CloseIdle()
		},
	}, logger, registry)
	if err != nil {
		return resultcode.New(resultcode.SettingsInvalid, err.Error())
	}
	if c.MetricsPort > 0 {
		if err := serveMetrics(settings.FrontAddress, c.MetricsPort, registry); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go watchSettings(path, process, logger, stop)
	return runProcess(process, logger)
}

// settingsPollInterval is the interval of checks for a changed settings file.
const settingsPollInterval = time.Second

// watchSettings reloads the settings when the file changes or on SIGHUP. If the file is invalid,
// the current settings stay in force.
func watchSettings(path string, process *gateway.Gateway, logger zerolog.Logger, stop <-chan struct{}) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := readFileVersion(path)
	for {
		signalled := false
		select {
		case <-stop:
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		current := readFileVersion(path)
		if !signalled && current == seen {
			continue
		}
		seen = current
		settings, err := platform.LoadSettings(path)
		if err == nil {
			err = process.Reload(*settings)
		}
		if err != nil {
			logger.Error().Err(err).Msg("settings_refused")
		}
	}
}

// fileVersion distinguishes versions of a file. It is zero if the file can't be read.
type fileVersion struct {
	size     int64
	modified time.Time
}

func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modified: info.ModTime()}
}

// serveMetrics serves a registry at /metrics on the host of an address.
func serveMetrics(address string, port int, registry *prometheus.Registry) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return resultcode.New(resultcode.SettingsInvalid, err.Error())
	}
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port)))
	if err != nil {
		return resultcode.New(resultcode.SettingsInvalid, "metrics: "+err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return nil
}
