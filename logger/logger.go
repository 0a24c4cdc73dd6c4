// Package logger writes log entries as lines of key=value pairs.
package logger

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes lines of the given level and above to w.
func New(w io.Writer, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return NewWithLevel(w, zap.NewAtomicLevelAt(lvl)), nil
}

// NewWithLevel returns a logger whose level can change at run time.
func NewWithLevel(w io.Writer, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), level))
}
