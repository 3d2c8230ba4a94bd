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
	"io"
	"os"

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
	return install(zap.New(zapcore.NewCore(encoder(), zapcore.Lock(os.Stderr), lvl), zap.AddCaller()))
}

// NewBounded returns a logger that writes to w without ever making its callers
// wait. Lines beyond a rate, in lines a second, and lines that w is too slow
// for are counted and dropped; the count is logged. The level can be changed.
func NewBounded(w io.Writer, level zap.AtomicLevel, rate int) (*zap.Logger, error) {
	out := newWriter(w, rate)
	return install(zap.New(zapcore.NewCore(encoder(), out, level), zap.AddCaller()))
}

func encoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "Time"
	cfg.LevelKey = "Level"
	cfg.MessageKey = "Message"
	cfg.CallerKey = "Caller"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(cfg)
}

// install sends go-zero's lines to a logger.
func install(logger *zap.Logger) (*zap.Logger, error) {
	// Only the first set-up counts, and a later one would replace the writer.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"}); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	logx.SetWriter(zeroWriter{logger.WithOptions(zap.AddCallerSkip(3))})
	return logger, nil
}

// FaultFields returns the fields that describe an error.
func FaultFields(err error) []zap.Field {
	f := mangomodel.AsFault(err, mangomodel.StepRespond)
	return []zap.Field{
		zap.Stringer("Step", f.Step), zap.String("Peer", string(f.Peer)),
		zap.Stringer("Code", f.Code), zap.Stringer("Run", f.Run), zap.String("Cause", f.Err.Error()),
	}
}

// zeroWriter passes go-zero's lines to zap.
type zeroWriter struct{ logger *zap.Logger }

func (w zeroWriter) Alert(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w zeroWriter) Close() error                    { return nil }
func (w zeroWriter) Debug(v any, _ ...logx.LogField) { w.logger.Debug(fmt.Sprint(v)) }
func (w zeroWriter) Error(v any, _ ...logx.LogField) { w.logger.Error(fmt.Sprint(v)) }
func (w zeroWriter) Info(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w zeroWriter) Severe(v any)                    { w.logger.Error(fmt.Sprint(v)) }
func (w zeroWriter) Slow(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w zeroWriter) Stack(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w zeroWriter) Stat(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
