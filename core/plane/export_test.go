package plane

// Strikes is the number of remembered fingerprints.
func (c *Control) Strikes() int { return len(c.strikes) }
