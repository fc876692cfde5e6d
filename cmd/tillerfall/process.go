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

// settingsFlags are the flags that set common settings of an agent or router.
type settingsFlags struct {
	Config   string   `long:"config" short:"c" description:"Settings file (YAML)"`
	Set      []string `long:"set" value-name:"FIELD=VALUE" description:"Setting that goes before the file's; may be given more than once"`
	ID       string   `long:"id" description:"Name of the process; node.id"`
	Region   string   `long:"region" description:"Region of the machine; node.region"`
	Zone     string   `long:"zone" description:"Zone of the machine; node.zone"`
	Address  string   `long:"address" description:"Numeric HOST:PORT to listen on; node.address"`
	LogLevel string   `long:"log-level" description:"Least level that is logged; logging.level"`
}

// overrides returns the flags as overrides. Those of --set come last and take precedence.
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

// load loads the settings from the file and the flags.
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

// yamlList formats texts as a one-line YAML list.
func yamlList(texts []string) string {
	quoted := make([]string, 0, len(texts))
	for _, text := range texts {
		quoted = append(quoted, strconv.Quote(text))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func indent(text string) string { return "  " + strings.ReplaceAll(text, "\n", "\n  ") }

// process is a long-running part of the system.
type process interface {
	// Node returns the identifier of this run.
	Node() fleet.NodeID
	Start() error
	// Stop shuts the process down gracefully and waits for its end. It may be called more than
	// once.
	Stop() error
	// Dead returns a channel that is closed when the process has ended.
	Dead() <-chan struct{}
	Err() error
}

// runProcess runs a process until it ends or receives SIGINT or SIGTERM. Further signals during the
// shutdown are ignored, because the shutdown has a time limit of its own. SIGHUP is ignored here;
// processes that reload their settings handle it themselves.
func runProcess(process process, logger zerolog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGHUP)
	defer signal.Stop(ignored)
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
