package plane

// CrashRecords returns the number of remembered fingerprints.
func (c *Control) CrashRecords() int { return len(c.crashReports) }

// CustomerLimits gives tests access to customerLimits.
var CustomerLimits = customerLimits
