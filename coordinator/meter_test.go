package coordinator

import (
	"fmt"
	"os"
	"testing"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
)

// SuiteMeter is a meter as in production, which refuses what a process may not record. One for all
// tests: each has a goroutine of its own.
var SuiteMeter = meter.New("suite", zap.NewNop())

func TestMain(m *testing.M) {
	code := m.Run()
	if refused := SuiteMeter.Refused(); len(refused) > 0 {
		fmt.Println("FAIL: metrics were refused:", refused)
		code = 1
	}
	os.Exit(code)
}
