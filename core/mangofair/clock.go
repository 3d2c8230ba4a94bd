package mangofair

// Clock keeps the virtual time of a service that flows share, and the tags of the
// flows. It is the decision of start-time fair queueing without the queue: a flow's
// next demand starts when its last one has finished, but not before the present virtual
// time, so that a flow gets no credit for the time in which it asked for nothing.
type Clock[F comparable] struct {
	// finish holds the finish tag of each flow's last served demand.
	finish map[F]float64
	// now is the start tag of the demand served last.
	now float64
}

// NewClock returns a clock without flows.
func NewClock[F comparable]() Clock[F] { return Clock[F]{finish: make(map[F]float64)} }

// Now returns the virtual time.
func (c *Clock[F]) Now() float64 { return c.now }

// Join adds a flow at the present virtual time unless it is known.
func (c *Clock[F]) Join(f F) {
	if _, ok := c.finish[f]; !ok {
		c.finish[f] = c.now
	}
}

// Finish returns the finish tag of a flow's last served demand, and the virtual time of
// its Join before the first.
func (c *Clock[F]) Finish(f F) float64 { return c.finish[f] }

// Start returns the start tag of a flow's next demand.
func (c *Clock[F]) Start(f F) float64 { return max(c.now, c.finish[f]) }

// Serve charges the cost of a served demand to its flow, which has a share of the
// service in proportion to its weight. Weights below 1 count as 1.
func (c *Clock[F]) Serve(f F, cost float64, weight int) {
	c.now = c.Start(f)
	c.finish[f] = c.now + cost/float64(max(weight, 1))
}

// Leave removes a flow without demands and reports whether it did. A flow that has
// received service ahead of the others is kept, so that it cannot leave and join again to
// be served first.
func (c *Clock[F]) Leave(f F) bool {
	if c.finish[f] > c.now {
		return false
	}
	delete(c.finish, f)
	return true
}

// LeaveAll removes the flows that Leave would remove. The start tags of all flows stay as
// they are, but not their finish tags.
func (c *Clock[F]) LeaveAll() {
	for f := range c.finish {
		c.Leave(f)
	}
}
