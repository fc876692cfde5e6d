package main

import (
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// settingsFlags are the flags that every process has.
type settingsFlags struct {
	Config   string   `long:"config" short:"c" description:"Settings file (YAML)"`
	Set      []string `long:"set" value-name:"FIELD=VALUE" description:"Setting that goes before the file's; may be given more than once"`
	ID       string   `long:"id" description:"Name of the process; node.id"`
	Region   string   `long:"region" description:"Region of the machine; node.region"`
	Zone     string   `long:"zone" description:"Zone of the machine; node.zone"`
	Address  string   `long:"address" description:"Numeric HOST:PORT to listen on; node.address"`
	LogLevel string   `long:"log-level" description:"Least level that is logged; logging.level"`
}

// overrides returns the flags as overrides; --set comes last and wins.
func (f settingsFlags) overrides() ([]settings.Override, error) {
	var overrides []settings.Override
	for _, flag := range []settings.Override{
		{Field: "node.id", Value: f.ID},
		{Field: "node.region", Value: f.Region},
		{Field: "node.zone", Value: f.Zone},
		{Field: "node.address", Value: f.Address},
		{Field: "logging.level", Value: f.LogLevel},
	} {
		if flag.Value != "" {
			overrides = append(overrides, flag)
		}
	}
	for _, text := range f.Set {
		override, problems := settings.ParseOverride(text)
		if err := problems.Err(); err != nil {
			return nil, resultcode.New(resultcode.SettingsInvalid, err.Error())
		}
		overrides = append(overrides, override)
	}
	return overrides, nil
}

// load fills the settings from file and flags.
func (f settingsFlags) load(target any) error {
	overrides, err := f.overrides()
	if err != nil {
		return err
	}
	if err := settings.Load(f.Config, target, overrides...).Err(); err != nil {
		return resultcode.New(resultcode.SettingsInvalid, "\n"+indent(err.Error()))
	}
	return nil
}

// yamlList writes texts as a YAML list on one line.
func yamlList(texts []string) string {
	quoted := make([]string, 0, len(texts))
	for _, text := range texts {
		quoted = append(quoted, strconv.Quote(text))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func indent(text string) string { return "  " + strings.ReplaceAll(text, "\n", "\n  ") }

// process is a part of the system that runs until it is stopped.
type process interface {
	// Node returns the identifier of this run.
	Node() fleet.NodeID
	Start() error
	// Stop stops as planned and waits; it may be called more than once.
	Stop() error
	// Dead is closed when the process has ended.
	Dead() <-chan struct{}
	Err() error
}

// runProcess runs a process until it ends or a signal asks it to stop. Signals
// during a planned stop change nothing: the stop is bounded by itself. SIGHUP is
// for processes that reload; others go on unmoved.
func runProcess(process process, logger zerolog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	unread := make(chan os.Signal, 1)
	signal.Notify(unread, syscall.SIGHUP)
	defer signal.Stop(unread)
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	select {
	case received := <-signals:
		logger.Info().Str("node", string(process.Node())).Str("signal", received.String()).Msg("signal_received")
		return process.Stop()
	case <-process.Dead():
		return process.Err()
	}
}
