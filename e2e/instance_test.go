package e2e

// instance is an agent with its fake worker and fake target.
type instance struct {
	agent, fakes         *process
	name, conf           string
	worker, target, http string // addresses; http is the agent's
}
