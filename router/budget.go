package router

// Limits of the retry budget.
const (
	// retryPerSuccess is the fraction of a retry that each success adds, so
	// that retries add at most a tenth to the load even in a total outage.
	retryPerSuccess = 0.1
	// maxRetryTokens is the largest number of retries that can be saved up.
	maxRetryTokens = 10
)

// retryBudget limits retries to a fraction of recent successes. Router.mu
// guards it.
type retryBudget struct {
	tokens float64
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryPerSuccess, maxRetryTokens) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
