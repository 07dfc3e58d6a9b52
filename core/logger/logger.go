// Package logger creates loggers that write one line of key=value pairs for each
// event.
//
// # Usage
//
//	l, err := logger.New(logger.Config{Program: "entry", Level: "info"})
//	l.Info().Str("event", "started").Str("address", address).Msg("")
package logger

import (
	"io"
	"os"
	"slices"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// Levels are the valid values of Config.Level.
var Levels = []string{"debug", "info", "warn", "error"}

// ErrLevel is returned for a level that is not one of Levels.
var ErrLevel = eris.New("logger: level must be debug, info, warn or error")

// Config describes a logger. By default, it writes events of level info and above
// to standard error.
type Config struct {
	Program string
	Level   string
	Sink    io.Writer
}

// New returns a logger. The error wraps ErrLevel if Config.Level is not valid.
func New(config Config) (*log.Logger, error) {
	if config.Level == "" {
		config.Level = "info"
	}
	if !slices.Contains(Levels, config.Level) {
		return nil, eris.Wrapf(ErrLevel, "level %q", config.Level)
	}
	if config.Sink == nil {
		config.Sink = os.Stderr
	}
	return &log.Logger{
		Level:      log.ParseLevel(config.Level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("program", config.Program).Value(),
		Writer: &log.ConsoleWriter{
			Writer:    config.Sink,
			Formatter: format,
		},
	}, nil
}
