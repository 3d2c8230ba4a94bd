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

// pipe is a reader of the log that can stop reading.
type pipe struct {
	gate sync.Mutex
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *pipe) Write(b []byte) (int, error) {
	p.gate.Lock()
	defer p.gate.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *pipe) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

func level() zap.AtomicLevel { return zap.NewAtomicLevelAt(zapcore.InfoLevel) }

// TestStalledReaderHoldsNobodyUp stops the reader, logs more than fits, and
// starts the reader again.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &pipe{}
	logger, err := NewBounded(p, level(), 1<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.gate.Lock()
	began := time.Now()
	for range 3 * queuedLines {
		logger.Info("line")
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
	p.gate.Unlock()
	g.Eventually(func() string {
		logger.Info("after")
		return p.String()
	}).WithTimeout(10 * time.Second).Should(gomega.ContainSubstring("log lines dropped"))
	for _, line := range strings.Split(strings.TrimSpace(p.String()), "\n") {
		g.Expect(json.Valid([]byte(line))).To(gomega.BeTrue(), line)
	}
}

func TestRateIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &pipe{}
	logger, err := NewBounded(p, level(), 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 1000 {
		logger.Info("line")
	}
	g.Expect(logger.Sync()).To(gomega.Succeed())
	g.Expect(strings.Count(p.String(), "\n")).To(gomega.BeNumerically("<=", 30))
}
