// Package mangolog makes the daemon's logger, which writes JSON lines, and
// sends go-zero's own log lines to it.
//
// # Usage
//
//	logger, err := mangolog.New("info")
//	logger.Info("started", zap.String("Daemon", "a1"))
package mangolog

import (
	"fmt"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mangolane/core/mangomodel"
)

// New returns a logger of a level that writes to standard error.
func New(level string) (*zap.Logger, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = lvl
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "Time"
	cfg.EncoderConfig.LevelKey = "Level"
	cfg.EncoderConfig.MessageKey = "Message"
	cfg.EncoderConfig.CallerKey = "Caller"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := cfg.Build()
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	// Only the first set-up counts, and a later one would replace the writer.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"}); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	logx.SetWriter(writer{logger.WithOptions(zap.AddCallerSkip(3))})
	return logger, nil
}

// Fault returns the fields that describe an error.
func Fault(err error) []zap.Field {
	f := mangomodel.AsFault(err, mangomodel.StepRespond)
	return []zap.Field{
		zap.Stringer("Step", f.Step), zap.String("Peer", string(f.Peer)),
		zap.Stringer("Code", f.Code), zap.Stringer("Run", f.Run), zap.String("Cause", f.Err.Error()),
	}
}

// writer passes go-zero's lines to zap.
type writer struct{ logger *zap.Logger }

func (w writer) Alert(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w writer) Close() error                    { return nil }
func (w writer) Debug(v any, _ ...logx.LogField) { w.logger.Debug(fmt.Sprint(v)) }
func (w writer) Error(v any, _ ...logx.LogField) { w.logger.Error(fmt.Sprint(v)) }
func (w writer) Info(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w writer) Severe(v any)                    { w.logger.Error(fmt.Sprint(v)) }
func (w writer) Slow(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w writer) Stack(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w writer) Stat(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
