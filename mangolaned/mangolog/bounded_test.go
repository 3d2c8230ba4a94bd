package mangolog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stallableWriter is a log destination that blocks while gate is locked.
type stallableWriter struct {
	gate sync.Mutex
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *stallableWriter) Write(b []byte) (int, error) {
	w.gate.Lock()
	defer w.gate.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func (w *stallableWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func level() zap.AtomicLevel { return zap.NewAtomicLevelAt(zapcore.InfoLevel) }

// TestStalledDestinationDoesNotBlockLogging blocks the destination, logs more
// lines than the queue holds, and unblocks it. Logging must not wait, dropped
// lines must be reported, and every written line must be whole.
func TestStalledDestinationDoesNotBlockLogging(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &stallableWriter{}
	logger, err := NewBounded(w, level(), 1<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w.gate.Lock()
	start := time.Now()
	for range 3 * queueLength {
		logger.Info("line")
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
	w.gate.Unlock()
	g.Eventually(func() string {
		logger.Info("after")
		return w.String()
	}).WithTimeout(10 * time.Second).Should(gomega.ContainSubstring("log lines dropped"))
	for _, line := range strings.Split(strings.TrimSpace(w.String()), "\n") {
		g.Expect(json.Valid([]byte(line))).To(gomega.BeTrue(), line)
	}
}

func TestRateIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &stallableWriter{}
	logger, err := NewBounded(w, level(), 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 1000 {
		logger.Info("line")
	}
	g.Expect(logger.Sync()).To(gomega.Succeed())
	g.Expect(strings.Count(w.String(), "\n")).To(gomega.BeNumerically("<=", 30))
}
