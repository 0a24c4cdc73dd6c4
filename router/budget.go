package router

// Shares of the retry budget.
const (
	// earned is what a success adds; a total outage so adds at most a tenth to
	// the load.
	earned = 0.1
	// most bounds what a quiet time saves up, in retries.
	most = 10
)

// budget bounds retries by recent successes. The Router's lock guards it.
type budget struct {
	tokens float64
}

func (b *budget) earn() { b.tokens = min(b.tokens+earned, most) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
