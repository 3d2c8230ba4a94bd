// Package mangolog creates the daemon's logger, which writes JSON lines, and
// redirects go-zero's log lines to it.
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

// New returns a logger at the given level that writes to standard error.
func New(level string) (*zap.Logger, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	return install(zap.New(zapcore.NewCore(encoder(), zapcore.Lock(os.Stderr), lvl), zap.AddCaller()))
}

// NewBounded returns a logger that writes to w and never blocks its callers.
// Lines above the rate, in lines per second, and lines that find the queue to w
// full are dropped. Their number is logged after a later line. The level may be
// changed later.
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

// install redirects go-zero's log lines to a logger.
func install(logger *zap.Logger) (*zap.Logger, error) {
	// SetUp takes effect only once and replaces the writer, so it is called here
	// before SetWriter; a later call by go-zero then has no effect.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"}); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	logx.SetWriter(goZeroWriter{logger.WithOptions(zap.AddCallerSkip(3))})
	return logger, nil
}

// FaultFields returns the log fields of an error: step, peer, code, whether the
// work ran, and cause.
func FaultFields(err error) []zap.Field {
	f := mangomodel.AsFault(err, mangomodel.StepRespond)
	return []zap.Field{
		zap.Stringer("Step", f.Step), zap.String("Peer", string(f.Peer)),
		zap.Stringer("Code", f.Code), zap.Stringer("Run", f.Run), zap.String("Cause", f.Err.Error()),
	}
}

// goZeroWriter forwards go-zero's log lines to zap. Its Info, Slow and Stat lines
// are logged at debug level.
type goZeroWriter struct{ logger *zap.Logger }

func (w goZeroWriter) Alert(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Close() error                    { return nil }
func (w goZeroWriter) Debug(v any, _ ...logx.LogField) { w.logger.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Error(v any, _ ...logx.LogField) { w.logger.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Info(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Severe(v any)                    { w.logger.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Slow(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Stack(v any)                     { w.logger.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Stat(v any, _ ...logx.LogField)  { w.logger.Debug(fmt.Sprint(v)) }
